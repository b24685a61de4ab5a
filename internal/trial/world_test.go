package trial

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basilrudder/internal/inventory"
	spec "basilrudder/internal/schema/inventory"
	"basilrudder/internal/standin/engine"
	"basilrudder/internal/standin/enginemodel"
	"basilrudder/internal/timer"
)

const (
	testCustomer = "acme"
	// bound ends a test that waits for what never comes; no test judges time.
	bound = 90 * time.Second

	classDraft   = "draft"   // model, idempotent
	classLetter  = "letter"  // model, not idempotent
	classLookup  = "lookup"  // service, idempotent
	classReceipt = "receipt" // service, not idempotent
)

// deployment has two model servers, of which the second ignores fencing
// numbers, and one application server.
const deployment = `
[[data_centres]]
name = "dc"
region = "r"

[[servers]]
name = "writer-1"
data_centre = "dc"
address = "127.0.0.1:2"
kind = "model"
checks_fencing = true
engines = [{ name = "e", models = ["writer"], slots = 4, step_ms = 7 }]

[[servers]]
name = "writer-2"
data_centre = "dc"
address = "127.0.0.1:3"
kind = "model"
checks_fencing = false
engines = [{ name = "e", models = ["writer"], slots = 4, step_ms = 7 }]

[[servers]]
name = "registry-1"
data_centre = "dc"
address = "127.0.0.1:4"
kind = "application"
engines = [{ name = "pool", services = ["registry"], slots = 8 }]

[[models]]
name = "writer"
version = "1"

[[tiers]]
tier = 0
name = "all"

[[classes]]
name = "draft"
tier = 0
kind = "model"
model = "writer"
idempotent = true
max_queue_ms = 600000
max_output_tokens = 4096

[[classes]]
name = "letter"
tier = 0
kind = "model"
model = "writer"
idempotent = false
max_queue_ms = 600000
max_output_tokens = 4096

[[classes]]
name = "lookup"
tier = 0
kind = "service"
service = "registry"
idempotent = true
max_queue_ms = 600000

[[classes]]
name = "receipt"
tier = 0
kind = "service"
service = "registry"
idempotent = false
max_queue_ms = 600000

[[customers]]
name = "acme"
credential_sha256 = ["%s"]

[rules]
directory_ttl_s = 1
directory_size = 8
`

// world is a fleet with what its callers saw.
type world struct {
	t       *testing.T
	ctx     context.Context
	fleet   *Fleet
	inv     *spec.Inventory
	records *records
	calls   *calls
}

// calls is what all callers saw.
type calls struct {
	mu      sync.Mutex
	nonces  int
	results []*result
}

func (c *calls) add(r *result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

func (c *calls) nonce() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nonces++
	return c.nonces
}

// sub returns the same world for callers that can be made to leave.
func (w *world) sub() (*world, context.CancelFunc) {
	own := *w
	ctx, cancel := context.WithCancel(w.ctx)
	own.ctx = ctx
	return &own, cancel
}

// records is what the daemons wrote to standard output.
type records struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (r *records) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buf.Write(p)
}

func (r *records) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buf.String()
}

func testInventory(tb testing.TB) *spec.Inventory {
	tb.Helper()
	digest := sha256.Sum256([]byte(CredentialPrefix + testCustomer))
	text := fmt.Sprintf(deployment, hex.EncodeToString(digest[:]))
	inv, problems := inventory.Parse([]inventory.File{{Name: "inventory.toml", Data: []byte(text)}})
	if len(problems) > 0 {
		tb.Fatal(problems)
	}
	return inv
}

// worlds numbers the fleets of the tests.
var worlds atomic.Int64

// newWorld starts a fleet. At the end of the test it compares what the callers
// were told with what the stand-ins ran.
func newWorld(t *testing.T, instances int) *world {
	return newWorldWith(t, instances, func(*Config) {})
}

func newWorldWith(t *testing.T, instances int, change func(*Config)) *world {
	t.Helper()
	t.Parallel()
	inv := testInventory(t)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	t.Cleanup(cancel)
	w := &world{t: t, ctx: ctx, inv: inv, records: &records{}, calls: &calls{}}
	cfg := Config{
		Inventory: inv,
		Instances: instances,
		IDPrefix:  fmt.Sprintf("w%d-", worlds.Add(1)),
		Records:   w.records,
	}
	change(&cfg)
	var err error
	w.fleet, err = Start(ctx, cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		w.fleet.Abort()
		w.compare()
	})
	return w
}

// until waits for a condition.
func (w *world) until(what string, condition func() bool) {
	w.t.Helper()
	ticker := timer.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-w.ctx.Done():
			w.t.Fatalf("never: %s", what)
		case <-ticker.C:
		}
	}
}

func (w *world) member(i int) *Member {
	return w.fleet.Members[i]
}

// engineServer and engine return the stand-ins of writer-1 and writer-2.
func (w *world) engineServer(i int) *engine.Server {
	return w.fleet.Engines[fmt.Sprintf("writer-%d", i)]
}

func (w *world) engine(i int) *engine.Engine {
	return w.engineServer(i).Engine("e")
}

// runs returns the runs that the engines started for a request.
func (w *world) runs(requestID string) []enginemodel.Run {
	var out []enginemodel.Run
	for _, server := range w.fleet.Engines {
		for _, run := range server.Engine("e").Runs() {
			if requestOf(run.ID) == requestID {
				out = append(out, run)
			}
		}
	}
	return out
}

// filed returns how often the application server started a request.
func (w *world) filed(requestID string) int {
	n := 0
	for _, app := range w.fleet.Apps {
		for _, run := range app.Runs() {
			if requestOf(run.RequestID) == requestID {
				n++
			}
		}
	}
	return n
}

// runsAt returns the stand-in that runs a request.
func (w *world) runsAt(requestID string) int {
	w.t.Helper()
	at := 0
	w.until("the request runs", func() bool {
		for i := 1; i <= len(w.fleet.Engines); i++ {
			for _, run := range w.engine(i).Runs() {
				if requestOf(run.ID) == requestID {
					at = i
				}
			}
		}
		return at != 0
	})
	return at
}

// requestOf strips the number of the attempt.
func requestOf(attemptID string) string {
	return attemptID[:strings.LastIndexByte(attemptID, '.')]
}

// compare fails the test for each caller that was told something else than what
// happened.
func (w *world) compare() {
	w.calls.mu.Lock()
	defer w.calls.mu.Unlock()
	last := make(map[string]*result)
	for _, r := range w.calls.results {
		last[r.id] = r
	}
	for _, r := range w.calls.results {
		if problem := w.contradiction(r, last[r.id] == r); problem != "" {
			w.t.Errorf("%s %s: %s (%+v)", r.class, r.id, problem, r)
		}
	}
}

// contradiction compares one call. A request that did not run may run when it is
// sent again, so the runs at the time of that verdict count, and for the last
// call under an id the runs at the end as well.
func (w *world) contradiction(r *result, last bool) string {
	if r.id == "" {
		return ""
	}
	runs := w.runs(r.id)
	count := len(runs) + w.filed(r.id)
	switch {
	case r.verdict == "not_run" && (r.hadRun || last && count > 0):
		return "the caller was told that it did not run"
	case r.verdict == "ran" && count == 0:
		return "the caller was told that it ran"
	case r.once() && count > 1:
		return fmt.Sprintf("ran %d times", count)
	case r.whole && !r.model() && !strings.Contains(r.text, r.id):
		return "the answer is one to another request"
	case r.whole && r.model() && !wholeOfOne(runs, r.text, r.tokens):
		return "the answer is not the one of any run"
	}
	return ""
}

// wholeOfOne reports whether the text is the whole answer of one of the runs.
func wholeOfOne(runs []enginemodel.Run, text string, tokens int) bool {
	for _, run := range runs {
		var want strings.Builder
		for i := range tokens {
			want.WriteString(engine.TokenText(run.ID, i))
		}
		if want.String() == text {
			return true
		}
	}
	return false
}
