package upstream

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/verdict"
)

// readAll reads until an error and returns the events and the number of comments.
func readAll(body string) ([]engineapi.TokenEvent, int) {
	r := newEventReader()
	r.reset(strings.NewReader(body))
	var events []engineapi.TokenEvent
	comments := 0
	for {
		var event engineapi.TokenEvent
		ok, err := r.next(&event)
		switch {
		case err != nil:
			return events, comments
		case ok:
			events = append(events, event)
		default:
			comments++
		}
	}
}

func TestEventReader(t *testing.T) {
	a := engineapi.TokenEvent{Offset: 0, Text: "a"}
	b := engineapi.TokenEvent{Offset: 1, Text: "b", Finish: "stop"}
	const (
		dataA = `data: {"offset":0,"text":"a"}`
		dataB = `data: {"offset":1,"text":"b","finish":"stop"}`
	)
	for _, c := range []struct {
		name string
		body string
		want []engineapi.TokenEvent
	}{
		{"two", "id: 0\n" + dataA + "\n\nid: 1\n" + dataB + "\n\n", []engineapi.TokenEvent{a, b}},
		{"carriage returns", dataA + "\r\n\r\n" + dataB + "\r\n\r\n", []engineapi.TokenEvent{a, b}},
		{"no space", "data:{\"offset\":0,\"text\":\"a\"}\n\n", []engineapi.TokenEvent{a}},
		{"several data lines", "data: {\"offset\":0,\ndata: \"text\":\"a\"}\n\n", []engineapi.TokenEvent{a}},
		{"unknown fields and comments", "event: x\n: hello\nretry: 1\n" + dataA + "\n\n", []engineapi.TokenEvent{a}},
		{"cut off", dataA + "\n\n" + dataB, []engineapi.TokenEvent{a}},
		{"two objects in one event", dataA + "{\"offset\":1,\"text\":\"x\"}\n\n" + dataB + "\n\n", nil},
		{"half an object", "data: {\"offset\":0\n\n" + dataB + "\n\n", nil},
		{"null", "data: null\n\n", nil},
		{"wrong type", "data: {\"offset\":\"0\"}\n\n", nil},
		{"too long", "data: " + strings.Repeat("x", 2*maxEventBytes) + "\n\n", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, _ := readAll(c.body)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}

// FuzzEventReader checks that reading ends on any input, and that the events do not
// depend on how the bytes are split into reads.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {\"offset\":0,\"text\":\"a\"}\n\n:\n\ndata: {\"offset\":1,\"text\":\"\",\"finish\":\"stop\"}\n\n"))
	f.Add([]byte("data: {}{}\n\ndata: null\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		whole, comments := readAll(string(body))
		r := newEventReader()
		r.reset(oneByteReader{bytes.NewReader(body)})
		for i := 0; i < len(whole)+comments; {
			var event engineapi.TokenEvent
			ok, err := r.next(&event)
			if err != nil {
				t.Fatalf("event %d: %v", i, err)
			}
			if ok {
				if diff := cmp.Diff(whole[0], event); diff != "" {
					t.Fatalf("event (-whole +bytewise):\n%s", diff)
				}
				whole = whole[1:]
				continue
			}
			comments--
		}
	})
}

type oneByteReader struct{ r *bytes.Reader }

func (r oneByteReader) Read(p []byte) (int, error) {
	return r.r.Read(p[:min(len(p), 1)])
}

// FuzzAnswer checks that a call ends with an answer or an error for any bytes sent by an
// upstream, and that only the header X-Not-Started leads to "not run".
func FuzzAnswer(f *testing.F) {
	event := "data: {\"offset\":0,\"text\":\"a\",\"finish\":\"stop\"}\n\n"
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(event), event)))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Started: true\r\nContent-Length: 2\r\n\r\n:\n"))
	f.Add([]byte("HTTP/1.1 503 Busy\r\nX-Not-Started: true\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 409 No\r\nContent-Length: 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		client := New(Config{Dial: dialBytes(answer)})
		err := client.Generate(t.Context(), Target{Address: "a"}, GenerateRequest{RequestID: "r"}, discard{})
		if err == nil && !bytes.Contains(answer, []byte("finish")) {
			t.Error("success without a finish event")
		}
		lower := bytes.ToLower(answer)
		if err != nil && err.Verdict == verdict.NotRun && !bytes.Contains(lower, []byte("x-not-started")) {
			t.Errorf("not run: %v", err)
		}
	})
}
