package upstream_test

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/upstream"
	"basilrudder/internal/verdict"
)

func TestLoadAndCacheEvents(t *testing.T) {
	_, target := startEngine(t, fastEngine())
	client := upstream.New(shortConfig())
	report, err := client.LoadReport(background, target)
	if err != nil || report.Engine != "e0" {
		t.Errorf("load: %+v, %v", report, err)
	}
	events, err := client.CacheEvents(background, target, 3)
	if err != nil || events.Next != 3 {
		t.Errorf("cache events: %+v, %v", events, err)
	}
}

// A paused instance resumes and sends an order of an old revision. A server that checks
// fencing numbers refuses it and returns the number it has seen. One that does not check
// accepts the order, which shows in its holdings.
func TestStaleOrderIsRefusedOnlyWithFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			cfg := fastEngine()
			cfg.ChecksFencing = checks
			_, target := startEngine(t, cfg)
			client := upstream.New(shortConfig())
			if _, err := client.Order(background, target, engineapi.Order{Fence: 7, Engine: "e0", Models: []string{"m@2"}}); err != nil {
				t.Fatal(err)
			}
			stale, err := client.Order(background, target, engineapi.Order{Fence: 6, Engine: "e0", Models: []string{"m@1"}})
			if err != nil || stale.Accepted == checks {
				t.Errorf("stale order: %+v, %v", stale, err)
			}
			want, fence := []string{"m@1"}, 0
			if checks {
				want, fence = []string{"m@2"}, 7
			}
			held, err := client.Holdings(background, target)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, held.Models); diff != "" || held.Fence != fence {
				t.Errorf("fence %d, models (-want +got):\n%s", held.Fence, diff)
			}
		})
	}
}

// The server closes a pooled connection while a control call is written to it. Control
// calls are idempotent, so the call is retried once.
func TestControlCallIsRetriedOnce(t *testing.T) {
	report := `{"engine":"e0","age_ms":1,"running":0,"waiting":0}`
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
	server, target := startScripted(t, func(conn net.Conn, request int) bool {
		return request != 2 && reply(whole)(conn, request)
	})
	client := upstream.New(shortConfig())
	for range 2 {
		if _, err := client.LoadReport(background, target); err != nil {
			t.Fatal(err)
		}
	}
	if sent := server.requests.Load(); sent != 3 {
		t.Errorf("%d requests received, want 3", sent)
	}
}

func TestServiceAnswerIsForwarded(t *testing.T) {
	_, target := startScripted(t, reply("HTTP/1.1 418 I'm a teapot\r\nX-Kind: b\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	client := upstream.New(shortConfig())
	for range 2 {
		answer, err := client.CallService(background, target, upstream.ServiceCall{RequestID: "a", Method: "POST", Path: "/x?y=1", Body: []byte("z")})
		if err != nil {
			t.Fatal(err)
		}
		if answer.Status != 418 || string(answer.Body) != "abc" {
			t.Errorf("answer: %+v", answer)
		}
		if !strings.Contains(fmt.Sprint(answer.Headers), "X-Kind b") || strings.Contains(fmt.Sprint(answer.Headers), "Transfer") {
			t.Errorf("headers: %v", answer.Headers)
		}
	}
}

func TestServiceVerdicts(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer string
		want   verdict.Verdict
		reason verdict.Reason
	}{
		{"not started", "HTTP/1.1 503 Busy\r\nX-Not-Started: true\r\nContent-Length: 0\r\n\r\n", verdict.NotRun, verdict.ReasonUpstreamRefused},
		{"closed", "", verdict.MayHaveRun, verdict.ReasonUpstreamLost},
		{"cut off", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", verdict.Ran, verdict.ReasonUpstreamLost},
		{"cut off error", "HTTP/1.1 500 Oops\r\nContent-Length: 10\r\n\r\nabc", verdict.MayHaveRun, verdict.ReasonUpstreamLost},
		{"end not marked", "HTTP/1.1 200 OK\r\n\r\nabc", verdict.Ran, verdict.ReasonUpstreamLost},
		{"end of error not marked", "HTTP/1.1 500 Oops\r\n\r\nabc", verdict.MayHaveRun, verdict.ReasonUpstreamLost},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n", verdict.Ran, verdict.ReasonUpstreamError},
		{"header too large", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 20_000) + "\r\n\r\n", verdict.MayHaveRun, verdict.ReasonUpstreamError},
		{"not HTTP", "hello\r\n\r\n", verdict.MayHaveRun, verdict.ReasonUpstreamError},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, target := startScripted(t, func(conn net.Conn, request int) bool {
				reply(c.answer)(conn, request)
				return false
			})
			cfg := shortConfig()
			cfg.MaxAnswer = 1000
			_, err := upstream.New(cfg).CallService(background, target, upstream.ServiceCall{Method: "GET", Path: "/"})
			checkVerdict(t, err, c.want, c.reason)
		})
	}
}

func TestServiceAnswersWithoutABodyNeedNoMarkedEnd(t *testing.T) {
	_, target := startScripted(t, reply("HTTP/1.1 204 No Content\r\n\r\n"))
	answer, err := upstream.New(shortConfig()).CallService(background, target, upstream.ServiceCall{Method: "GET", Path: "/"})
	if err != nil || answer.Status != 204 {
		t.Errorf("%v, %v", answer, err)
	}
}

func TestServicePathCannotInjectHeaders(t *testing.T) {
	server, target := startScripted(t, reply("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	client := upstream.New(shortConfig())
	for _, call := range []upstream.ServiceCall{
		{Method: "GET", Path: "/ HTTP/1.1\r\nX-Evil: 1\r\n\r\n"},
		{Method: "GET", Path: "no-slash"},
		{Method: "G T", Path: "/"},
		{Method: "", Path: "/"},
	} {
		_, err := client.CallService(background, target, call)
		checkVerdict(t, err, verdict.NotRun, verdict.ReasonBadRequest)
	}
	if sent := server.requests.Load(); sent != 0 {
		t.Errorf("%d requests received, want none", sent)
	}
}
