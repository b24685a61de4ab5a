package upstream_test

import (
	"testing"

	"basilrudder/internal/standin/engine"
	"basilrudder/internal/standin/enginemodel"
	"basilrudder/internal/upstream"
	"basilrudder/internal/verdict"
)

// The connection is reset after some tokens while the run continues at the engine.
// Resuming from the number of received tokens returns exactly the remaining ones, and the
// engine runs the request only once.
func TestResumeDeliversExactlyTheMissingTokens(t *testing.T) {
	server, target := startEngine(t, fastEngine())
	client := upstream.New(shortConfig())
	sink := newCollector()
	go sink.runAtToken(5, server.Cut)
	err := client.Generate(background, target, generate("a", 200), sink)
	checkVerdict(t, err, verdict.Ran, verdict.ReasonUpstreamLost)
	if err := client.Resume(background, target, "a", len(sink.events), sink); err != nil {
		t.Fatal(err)
	}
	sink.checkComplete(t, "a", 200)
	if runs := server.Engine("e0").Runs(); len(runs) != 1 || runs[0].End != enginemodel.Completed {
		t.Errorf("runs: %+v", runs)
	}
}

// The stream becomes unresponsive: the engine continues and TCP reports no error, but no
// more bytes arrive. After the timeout between tokens the client closes the connection,
// and the remaining tokens arrive over a new one.
func TestUnresponsiveStreamIsDetectedAndResumed(t *testing.T) {
	server, target := startEngine(t, fastEngine())
	client := upstream.New(shortConfig())
	sink := newCollector()
	go sink.runAtToken(5, server.Silence)
	err := client.Generate(background, target, generate("a", 200), sink)
	checkVerdict(t, err, verdict.Ran, verdict.ReasonUpstreamSilent)
	if err := client.Resume(background, target, "a", len(sink.events), sink); err != nil {
		t.Fatal(err)
	}
	sink.checkComplete(t, "a", 200)
}

// The engine crashed and restarted, so it has no record of the request. Resume must not
// return "not run": the request ran before the crash.
func TestResumeOfAnUnknownRequestMayHaveRun(t *testing.T) {
	_, target := startEngine(t, fastEngine())
	err := upstream.New(shortConfig()).Resume(background, target, "a", 4, newCollector())
	checkVerdict(t, err, verdict.MayHaveRun, verdict.ReasonUnknownRequest)
}

func TestResumeThatCannotConnectMayHaveRun(t *testing.T) {
	ln := listen(t)
	_ = ln.Close()
	target := upstream.Target{Address: ln.Addr().String(), Server: "s0", Engine: "e0"}
	err := upstream.New(shortConfig()).Resume(background, target, "a", 4, newCollector())
	checkVerdict(t, err, verdict.MayHaveRun, verdict.ReasonConnect)
}

// The engine process crashes in the middle of an answer and all its connections are
// reset. The verdict is "ran". The restarted engine has no record of the request.
func TestCrashDuringStreamIsRan(t *testing.T) {
	server, target := startEngine(t, fastEngine())
	client := upstream.New(shortConfig())
	sink := newCollector()
	done := make(chan *verdict.Error)
	go func() { done <- client.Generate(background, target, generate("a", 1_000_000), sink) }()
	<-sink.seen
	server.Crash()
	checkVerdict(t, <-done, verdict.Ran, verdict.ReasonUpstreamLost)
	server.Restart()
	err := client.Resume(background, target, "a", len(sink.events), sink)
	checkVerdict(t, err, verdict.MayHaveRun, verdict.ReasonUnknownRequest)
	if text := engine.TokenText("a", 0); sink.events[0].Text != text {
		t.Errorf("first token %q, want %q", sink.events[0].Text, text)
	}
}

// The engine resumes at an earlier token than requested, as one that keeps whole blocks
// may. The receiver already has those tokens and must not receive them again.
func TestResumedStreamMayBeginEarlier(t *testing.T) {
	_, target := startScripted(t, reply(stream("data: {\"offset\":1,\"text\":\"b\"}\n\ndata: {\"offset\":2,\"text\":\"c\"}\n\n"+
		"data: {\"offset\":3,\"text\":\"d\",\"finish\":\"stop\"}\n\n")))
	sink := newCollector()
	if err := upstream.New(shortConfig()).Resume(background, target, "a", 2, sink); err != nil {
		t.Fatal(err)
	}
	if len(sink.events) != 2 || sink.events[0].Offset != 2 {
		t.Errorf("tokens: %+v", sink.events)
	}
}

// A token is missing in the middle. The stream must fail, since the answer would be
// incomplete.
func TestMissingTokenFailsTheStream(t *testing.T) {
	_, target := startScripted(t, reply(stream("data: {\"offset\":0,\"text\":\"a\"}\n\ndata: {\"offset\":2,\"text\":\"c\",\"finish\":\"stop\"}\n\n")))
	sink := newCollector()
	err := upstream.New(shortConfig()).Generate(background, target, generate("a", 3), sink)
	checkVerdict(t, err, verdict.Ran, verdict.ReasonUpstreamError)
	if len(sink.events) != 1 {
		t.Errorf("tokens: %+v", sink.events)
	}
}
