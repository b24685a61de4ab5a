package main

import (
	"context"
	"fmt"
	"testing"
	"time"

	"basilrudder/internal/trial"
	"basilrudder/tools/abuse"
)

const (
	crowdConnections = 500
	crowdBody        = 1 << 20
	// crowdStays is how long a crowd stays before an ordinary request is sent beside it.
	crowdStays = 2 * time.Second
	startMost  = 30 * time.Second
	// ordinaryMost is how long an ordinary caller tries.
	ordinaryMost = 15 * time.Second
)

// crowdLimits are those of the daemon before which crowds are played.
var crowdLimits = abuse.Limits{Descriptors: 1000, MemoryMB: 64}

const crowdSettings = `[limits]
memory_mb = %d
descriptors = %d
connections = %d
body_bytes = %d
read_timeout_ms = 5000
`

// besieged is a daemon with the limits of a small machine, beside which crowds are played.
type besieged struct {
	*testing.T
	fleet *fleet
	watch *abuse.Watch
}

// besiege starts a daemon and waits until it serves.
func besiege(t *testing.T) *besieged {
	ctx, cancel := context.WithTimeout(t.Context(), startMost)
	defer cancel()
	f, err := startFleet(ctx, fleetConfig{
		Shape: shape{Customers: 10, Servers: 7, StepMS: 1, Rate: 1000, TTL: 1}, Daemons: 1, Procs: 2,
		Settings: fmt.Sprintf(crowdSettings, crowdLimits.MemoryMB, crowdLimits.Descriptors, crowdConnections, crowdBody),
	})
	t.Cleanup(f.close)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.ready(ctx); err != nil {
		t.Fatal(err)
	}
	b := &besieged{T: t, fleet: f, watch: abuse.NewWatch(f.members()[0].proc().pid())}
	b.mustServe("at first")
	return b
}

// endure plays a crowd at one of the daemon's ports: the process lives, stays within its limits,
// and an ordinary request is served beside the crowd and after it.
func (b *besieged) endure(port, size int, client abuse.Client) {
	b.Helper()
	daemon := b.fleet.members()[0]
	crowd := abuse.Start(daemon.address(port), size, client)
	time.Sleep(crowdStays)
	b.mustServe("beside the crowd")
	crowd.Leave()
	b.mustServe("after the crowd")
	if daemon.proc().ended(0) {
		b.Fatal("the process has ended")
	}
	usage, err := b.watch.Stop()
	if err != nil {
		b.Fatal(err)
	}
	if b.Log(usage); crowdLimits.Exceeded(usage) {
		b.Errorf("%v exceed %+v", usage, crowdLimits)
	}
}

// mustServe has an ordinary caller ask the directory and send a request.
func (b *besieged) mustServe(when string) {
	b.Helper()
	ctx, cancel := context.WithTimeout(b.Context(), ordinaryMost)
	defer cancel()
	caller := newCaller(customerName(1), func() []string { return []string{b.fleet.members()[0].address(callersPort)} })
	tries := 0
	nonce := func() string {
		tries++
		return fmt.Sprintf("%d-%d", time.Now().UnixNano(), tries)
	}
	if s := caller.run(ctx, work{class: classService, service: true, idempotent: true, tokens: 1}, nonce); !s.whole {
		b.Errorf("%s an ordinary caller was not served: %s, %+v", when, s.why, s.ids[max(0, len(s.ids)-3):])
	}
}

const chatHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: s\r\nContent-Type: application/json\r\n" +
	"Authorization: Bearer " + trial.CredentialPrefix + "customer-00000\r\nX-Request-Class: stream-0\r\n"

// Guards against bodies that each stop just short of their end, and fill the memory together.
func TestCrowdAtADaemonOfUnfinishedBodies(t *testing.T) {
	for _, framing := range []abuse.Framing{abuse.Whole, abuse.Pieces, abuse.Chunked} {
		t.Run(fmt.Sprint(framing), func(t *testing.T) {
			besiege(t).endure(callersPort, 120, abuse.Client{Send: abuse.Unfinished(chatHead, crowdBody, framing)})
		})
	}
}

// Guards against bodies that are held for callers whom nobody knows.
func TestCrowdAtADaemonOfBodiesWithoutCredential(t *testing.T) {
	const head = "POST /v1/chat/completions HTTP/1.1\r\nHost: s\r\n"
	besiege(t).endure(callersPort, 120, abuse.Client{Send: abuse.Unfinished(head, crowdBody, abuse.Chunked)})
}

// Guards against heads of very many fields.
func TestCrowdAtADaemonOfHeadsOfManyFields(t *testing.T) {
	besiege(t).endure(callersPort, 480, abuse.Client{Send: abuse.Unfinished(chatHead+abuse.Fields(15<<10), 2, abuse.Whole)})
}

// Guards against idle connections that keep what the head of an earlier request took.
func TestCrowdAtADaemonOfIdleConnectionsAfterHeadsOfManyFields(t *testing.T) {
	for _, at := range []struct{ port, size, head int }{{callersPort, 480, 15 << 10}, {adminPort, 900, 3 << 10}, {peersPort, 900, 3 << 10}} {
		t.Run(fmt.Sprint(at.port), func(t *testing.T) {
			whole := "GET /nowhere HTTP/1.1\r\nHost: s\r\n" + abuse.Fields(at.head) + "\r\n"
			besiege(t).endure(at.port, at.size, abuse.Client{Send: abuse.Text(whole), Reads: true})
		})
	}
}

// Guards against heads sent a line at a time by more clients than connections are served.
func TestCrowdAtADaemonOfSlowHeads(t *testing.T) {
	besiege(t).endure(callersPort, 700, abuse.Client{Send: abuse.Slowly(chatHead, "abc: x\r\n", 200*time.Millisecond)})
}

// Guards against idle connections that take what others need.
func TestCrowdAtADaemonOfIdleConnections(t *testing.T) {
	for _, port := range []int{callersPort, adminPort, peersPort} {
		t.Run(fmt.Sprint(port), func(t *testing.T) { besiege(t).endure(port, 1200, abuse.Client{}) })
	}
}

// Guards against bodies that are held where operators ask for the status only.
func TestCrowdAtADaemonOfBodiesAtTheAdminAddress(t *testing.T) {
	for _, framing := range []abuse.Framing{abuse.Whole, abuse.Chunked} {
		t.Run(fmt.Sprint(framing), func(t *testing.T) {
			besiege(t).endure(adminPort, 30, abuse.Client{Send: abuse.Unfinished("POST /v1/status HTTP/1.1\r\nHost: s\r\n", 4<<20-8<<10, framing)})
		})
	}
}
