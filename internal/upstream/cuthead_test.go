package upstream_test

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"basilrudder/internal/standin/faultnet"
	"basilrudder/internal/upstream"
	"basilrudder/internal/verdict"
)

// cutHeads are whole answers of which parts are sent, by their framing and form.
var cutHeads = map[string]string{
	"length":            "HTTP/1.1 200 OK\r\nX-Started: true\r\nContent-Length: 2\r\n\r\n{}",
	"chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n",
	"empty":             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"no content":        "HTTP/1.1 204 No Content\r\nX-Started: true\r\n\r\n",
	"not found":         "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
	"after interim":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"not started":       "HTTP/1.1 503 No\r\nX-Not-Started: true\r\nContent-Length: 0\r\n\r\n",
	"longer than sent":  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
	"lines ended by LF": "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
}

// Guards against answers of engines and application servers that were broken off and look whole.
func TestPartsOfAnswersAreErrors(t *testing.T) {
	const wait = 20 * time.Millisecond
	cfg := upstream.Config{FirstByteTimeout: wait, FirstTokenTimeout: wait, TokenGapTimeout: wait, ServiceTimeout: wait}
	for name, end := range faultnet.Ends {
		for kind, answer := range cutHeads {
			var plays sync.WaitGroup
			for cut := range len(answer) {
				sent := answer[:cut]
				client := upstream.New(cfg)
				_, target := startScripted(t, func(conn net.Conn, _ int) bool {
					_, _ = io.WriteString(conn, sent)
					end(conn)
					return false
				})
				check := func(call string, err *verdict.Error) {
					// No part says that the request was not run.
					if err == nil || err.Verdict == verdict.NotRun && !strings.Contains(sent, "\r\n\r\n") {
						t.Errorf("%s, %s, %s: %v after %q", kind, name, call, err, sent)
					}
				}
				plays.Go(func() {
					_, err := client.CallService(t.Context(), target, upstream.ServiceCall{RequestID: "r", Method: "GET", Path: "/"})
					check("service", err)
					_, err = client.LoadReport(t.Context(), target)
					check("load", err)
					check("cancel", client.Cancel(t.Context(), target, "r"))
					check("generate", client.Generate(t.Context(), target, generate("r", 1), newCollector()))
				})
			}
			plays.Wait()
		}
	}
}

// Guards against bytes after an answer that is longer than it says, read as the next answer.
func TestBytesAfterAnAnswerAreNoNextAnswer(t *testing.T) {
	next := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	server, target := startScripted(t, reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"+next))
	client := upstream.New(shortConfig())
	for range 3 {
		answer, err := client.CallService(t.Context(), target, upstream.ServiceCall{RequestID: "r", Method: "GET", Path: "/"})
		if err != nil || string(answer.Body) != "{}" {
			t.Errorf("%+v, %v", answer, err)
		}
	}
	if conns := server.conns.Load(); conns != 3 {
		t.Errorf("%d connections", conns)
	}
}
