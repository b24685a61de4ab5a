package appserver

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"basilrudder/internal/upstream"
	"basilrudder/internal/verdict"
)

func start(t *testing.T, cfg Config) (*Server, upstream.Target) {
	t.Helper()
	s := New(cfg)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ln)
	}()
	t.Cleanup(func() {
		s.Close()
		<-done
	})
	return s, upstream.Target{Address: ln.Addr().String(), Server: "app"}
}

func TestCallsAreAnsweredAndRecorded(t *testing.T) {
	s, target := start(t, Config{ServiceTime: time.Millisecond})
	client := upstream.New(upstream.Config{})
	call := upstream.ServiceCall{RequestID: "r1", Method: "POST", Path: "/seals?id=1", Body: []byte("x")}
	answer, err := client.CallService(context.Background(), target, call)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(answer.Body), "r1") {
		t.Errorf("answer %s does not contain the request ID r1", answer.Body)
	}
	runs := s.Runs()
	if len(runs) != 1 || runs[0].RequestID != "r1" || runs[0].Path != call.Path || runs[0].Ended == 0 {
		t.Errorf("runs: %+v, want one ended run of r1 with the path of the call", runs)
	}
}

func TestBusyServerStartsNothing(t *testing.T) {
	s, target := start(t, Config{})
	s.SetBusy(true)
	call := upstream.ServiceCall{RequestID: "r1", Method: "GET", Path: "/"}
	_, err := upstream.New(upstream.Config{}).CallService(context.Background(), target, call)
	if err == nil || err.Verdict != verdict.NotRun {
		t.Errorf("error of a call to a busy server: %v, want verdict NotRun", err)
	}
	if runs := len(s.Runs()); runs != 0 {
		t.Errorf("busy server started %d calls, want 0", runs)
	}
}

// The server crashes while it runs a call. The caller has no answer, so its error must be
// MayHaveRun: the call did start, as WaitForRuns shows, and a retry could run it twice.
func TestCrashDuringCallReportsMayHaveRun(t *testing.T) {
	s, target := start(t, Config{ServiceTime: time.Hour})
	done := make(chan *verdict.Error)
	go func() {
		call := upstream.ServiceCall{RequestID: "r1", Method: "GET", Path: "/", Timeout: time.Hour}
		_, err := upstream.New(upstream.Config{}).CallService(context.Background(), target, call)
		done <- err
	}()
	s.WaitForRuns(1)
	s.Crash()
	if err := <-done; err == nil || err.Verdict != verdict.MayHaveRun {
		t.Errorf("error of a call cut by a crash: %v, want verdict MayHaveRun", err)
	}
}
