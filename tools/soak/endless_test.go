package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basilrudder/platform/wire"
)

// endlessAnswers are what a faulty server sends without end: first, then a unit again and again.
// %s stands for the id of the request.
var endlessAnswers = map[string]struct{ first, unit string }{
	"no-answer":        {"", "x"},
	"status-line":      {"HTTP/1.1 200 ", "O"},
	"header-line":      {"HTTP/1.1 200 OK\r\n" + wire.HeaderSeal + ": ", "s"},
	"header-lines":     {"HTTP/1.1 200 OK\r\n", "X-More: v\r\n"},
	"interim":          {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"interim-head":     {"HTTP/1.1 103 Early Hints\r\n", "X-More: v\r\n"},
	"body":             {soundHead + "\r\n", "x"},
	"length":           {soundHead + "Content-Length: 999999999999\r\n\r\n", "x"},
	"chunks":           {soundHead + "Transfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"},
	"chunk-extension":  {soundHead + "Transfer-Encoding: chunked\r\n\r\n8;", "x"},
	"trailers":         {soundHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: v\r\n"},
	"event":            {soundHead + "Content-Type: text/event-stream\r\n\r\ndata: ", "x"},
	"lines-of-event":   {soundHead + "Content-Type: text/event-stream\r\n\r\n", "data: x\n"},
	"events":           {soundHead + "Content-Type: text/event-stream\r\n\r\n", "data: x\n\n"},
	"refusal":          {"HTTP/1.1 503 Full\r\n" + wire.HeaderID + ": %s\r\n" + wire.HeaderNotRun + ": 1\r\n\r\n", "x"},
	"another-requests": {"HTTP/1.1 200 OK\r\n" + wire.HeaderID + ": other\r\n\r\n", "x"},
}

const (
	soundHead = "HTTP/1.1 200 OK\r\n" + wire.HeaderID + ": %s\r\n" + wire.HeaderSeal + ": s\r\n"
	// endlessCallers is the number of callers of each route and kind.
	endlessCallers = 3
	endlessServers = 4
	endlessPiece   = 64 << 10
)

// serveEndless answers ordinary requests soundly, those for a kind of endlessAnswers with it, and
// all others, as those for a report, with a body without end.
func serveEndless(c net.Conn, sent *atomic.Int64) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // fails only if the instance is gone
		id := r.Header.Get(wire.HeaderID)
		if strings.HasPrefix(r.URL.Path, "/safe/") {
			_, _ = fmt.Fprintf(c, soundHead+"Content-Length: 1\r\n\r\nx", id)
			continue
		}
		kind, ok := endlessAnswers[r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]]
		if !ok {
			kind.first, kind.unit = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n[", "[],"
		}
		_, err = io.WriteString(c, strings.ReplaceAll(kind.first, "%s", id))
		for piece := strings.Repeat(kind.unit, endlessPiece/len(kind.unit)); err == nil; {
			var n int
			n, err = io.WriteString(c, piece)
			sent.Add(int64(n))
		}
		return
	}
}

// listenEndless returns a listener whose connections serveEndless serves. It counts the bytes
// without end that are sent.
func listenEndless(t *testing.T, sent *atomic.Int64) net.Listener {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveEndless(c, sent)
		}
	}()
	return ln
}

func besiegeWithEndless(t *testing.T, sent *atomic.Int64) *besieged {
	return besiegeWith(t, 0, func(f *fleet) error {
		for n := range endlessServers {
			u := &upstream{service: []string{plain, model}[n%2], software: "v1", proxy: &proxy{ln: listenEndless(t, sent)}}
			if err := f.store.PutServer(fmt.Sprint("s", n), u.entry(wire.StateReady)); err != nil {
				return err
			}
		}
		return nil
	})
}

// askEndless sends a request and reads what comes, for as long as a caller waits.
func (b *besieged) askEndless(route, kind string) {
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/%s/%s", b.address["callers"], route, kind), strings.NewReader("x"))
	if err != nil {
		b.Error(err)
		return
	}
	r.Host = host
	r.Header.Set(wire.HeaderID, fmt.Sprintf("%s-%s-%d", route, kind, time.Now().UnixNano()))
	r.Header.Set(wire.HeaderKey, wire.KeyScheme+customerKey)
	r.Header.Set(wire.HeaderDeadline, "3000")
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	if answer, err := client.Do(r); err == nil {
		_, _ = io.Copy(io.Discard, answer.Body) // it need not be whole
		_ = answer.Body.Close()
	}
}

// mustExceedMemory checks that so many bytes would have filled the instance's memory.
func (b *besieged) mustExceedMemory(sent int64) {
	b.Helper()
	if sent < crowdLimits.MemoryMB<<20 {
		b.Errorf("only %d bytes were sent", sent)
	}
}

// Guards against a server that sends bytes without end and takes the instance's memory, and with it other callers' requests.
func TestCrowdOfAnswersWithoutEnd(t *testing.T) {
	var sent atomic.Int64
	b := besiegeWithEndless(t, &sent)
	var asking sync.WaitGroup
	for kind := range endlessAnswers {
		for _, route := range []string{"unsafe", "stream", "resumable"} {
			for range endlessCallers {
				asking.Go(func() { b.askEndless(route, kind) })
			}
		}
	}
	time.Sleep(crowdStays)
	b.mustServe("beside answers without end")
	asking.Wait()
	b.mustServe("after answers without end")
	b.mustBeWithinLimits(0)
	b.mustExceedMemory(sent.Load())
}

// Guards against a store that sends bytes without end and takes the instance's memory.
func TestCrowdOfAnswersWithoutEndOfTheStore(t *testing.T) {
	var sent, toStore atomic.Int64
	b := besiegeWithEndless(t, &sent)
	b.store.set(refusing) // cuts the connections that there are
	b.store.retarget(listenEndless(t, &toStore).Addr().String())
	b.store.set(passing)
	time.Sleep(crowdStays)
	b.mustServe("beside a store without end")
	b.mustBeWithinLimits(0)
	b.mustExceedMemory(toStore.Load())
}
