package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for one incarnation of a server: an application server, or with
// events a model server.
type server struct {
	id       string
	slots    chan struct{}
	admitted chan struct{}
	work     time.Duration // of a plain request
	first    time.Duration // until the first event of a stream
	events   int           // of a stream; 0 for a plain server
	interval time.Duration // between events

	mu sync.Mutex // guards standard output
}

// serve runs `standin server ADDRESS ID SLOTS QUEUE WORK-MS [FIRST-MS EVENTS INTERVAL-MS]`.
func serve(args []string) error {
	number := func(i int) int {
		if i >= len(args) {
			return 0
		}
		n, err := strconv.Atoi(args[i])
		if err != nil {
			panic(err)
		}
		return n
	}
	ms := func(i int) time.Duration { return time.Duration(number(i)) * time.Millisecond }
	s := &server{
		id: args[1], slots: make(chan struct{}, number(2)), admitted: make(chan struct{}, number(2)+number(3)),
		work: ms(4), first: ms(5), events: number(6), interval: ms(7),
	}
	ln, err := net.Listen("tcp4", args[0])
	if err != nil {
		return err
	}
	fmt.Println("ready")
	go endWithParent()
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go s.connection(c)
	}
}

// endWithParent ends the process when the program that started it has ended.
func endWithParent() {
	io.Copy(io.Discard, os.Stdin)
	os.Exit(0)
}

func (s *server) report(event, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf("{\"id\":%q,\"event\":%q}\n", id, event)
}

// connection serves one request at a time.
func (s *server) connection(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Attempt-Id")
		if r.URL.Path == "/healthz" {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nInstance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		answer := s.answer(c, r, id, body)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// answer returns the bytes of an answer; nil after the connection broke. A stream is sent
// but for its end.
func (s *server) answer(c net.Conn, r *http.Request, id string, body []byte) []byte {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		s.report("is not expected by", id)
		return []byte("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + id + "\r\nInstance-Id: " + s.id + "\r\nContent-Length: 0\r\n\r\n")
	}
	if strings.HasPrefix(r.URL.Path, "/basilrudder/") {
		return []byte("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	}
	select {
	case s.admitted <- struct{}{}:
		defer func() { <-s.admitted }()
	default:
		s.report("has no room for", id)
		return []byte("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.report("runs", id)
	if s.events > 0 {
		return s.stream(c, id)
	}
	time.Sleep(s.work/2 + time.Duration(rand.Int64N(int64(s.work)+1)))
	text := fmt.Sprintf("%s by %s, %d bytes\n", id, s.id, len(body))
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, s.id, id, len(text), text)
}

func (s *server) stream(c net.Conn, id string) []byte {
	time.Sleep(s.first)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, s.id, id)
	if _, err := io.WriteString(c, head); err != nil {
		return nil
	}
	for n := range s.events {
		if n > 0 {
			time.Sleep(s.interval)
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", n+1, id, n+1, s.events)
		var chunk bytes.Buffer
		fmt.Fprintf(&chunk, "%x\r\n%s\r\n", len(event), event)
		if _, err := c.Write(chunk.Bytes()); err != nil {
			s.report("is left by", id)
			return nil
		}
	}
	return []byte("0\r\n\r\n")
}
