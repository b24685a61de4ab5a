package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/crashes"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// crashesPerMessage is how many crashes are told in a message: some 16 KB.
const crashesPerMessage = 256

// crashTracker is what this instance knows of requests that crash servers, shared with all
// others.
type crashTracker struct {
	log     *zap.Logger
	updates *updateBatcher

	// suspects is the number of requests in the book, so that calm costs nothing.
	suspects atomic.Int64
	// refused counts requests that were not sent on.
	refused atomic.Int64

	mu   sync.Mutex
	book *crashes.Book
}

func newCrashTracker(news *updateBatcher, log *zap.Logger) *crashTracker {
	return &crashTracker{log: log, updates: news, book: crashes.NewBook()}
}

// Suspects implements relay.Fleet.
func (f *fleet) Suspects() bool { return f.crashes.suspects.Load() > 0 }

// Culprit implements relay.Fleet.
func (f *fleet) Culprit(request crashes.Fingerprint, now monotime.Instant) bool {
	return f.crashes.isPoison(request, now)
}

// Crashed implements relay.Fleet.
func (f *fleet) Crashed(crash crashes.Crash, now monotime.Instant) {
	f.crashes.broadcast(f.crashes.add(f.self, []crashes.Crash{crash}, now))
}

// Survived implements relay.Fleet.
func (f *fleet) Survived(request crashes.Fingerprint, now monotime.Instant) {
	f.crashes.broadcast(f.crashes.addServed(request, now, now))
}

func (c *crashTracker) isPoison(request crashes.Fingerprint, now monotime.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.book.Culprit(request, now)
	if found {
		c.refused.Add(1)
	}
	return found
}

// add takes crashes and returns what of them is news.
func (c *crashTracker) add(from string, list []crashes.Crash, now monotime.Instant) (added []wire.RelayCrash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, crash := range list {
		fresh, culprit := c.book.Add(crash, now)
		if !fresh {
			continue
		}
		added = append(added, encodeCrash(crash, now))
		if culprit {
			c.log.Warn("request_crashes_servers", zap.String("from", from), zap.Binary("fingerprint", crash.Request[:]),
				zap.String("customer", crash.Customer), zap.String("server", crash.Server), zap.Duration("age_ms", now.Sub(crash.At)))
		}
	}
	c.suspects.Store(int64(c.book.Len()))
	return added
}

// addServed takes a run without a crash and returns what of it is news.
func (c *crashTracker) addServed(request crashes.Fingerprint, at, now monotime.Instant) []wire.RelayCrash {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.book.Served(request, at) {
		return nil
	}
	return []wire.RelayCrash{{Request: request[:], AgeMS: ageMS(at, now)}}
}

// broadcast tells all peers.
func (c *crashTracker) broadcast(list []wire.RelayCrash) {
	if len(list) > 0 {
		c.updates.addCrashes(list)
	}
}

// expire forgets what has not come for long.
func (c *crashTracker) expire(now monotime.Instant) {
	if c.suspects.Load() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.book.Expire(now)
	c.suspects.Store(int64(c.book.Len()))
}

// encodeAll returns encodeAll that is known, for a peer that may have missed some.
func (c *crashTracker) encodeAll(now monotime.Instant) (out []wire.RelayCrash) {
	if c.suspects.Load() == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, crash := range c.book.Known() {
		out = append(out, encodeCrash(crash, now))
	}
	for request, at := range c.book.ServedAt() {
		out = append(out, wire.RelayCrash{Request: request[:], AgeMS: ageMS(at, now)})
	}
	return out
}

// receive takes what a peer tells and returns what of it is news here.
func (c *crashTracker) receive(from string, received []wire.RelayCrash, now monotime.Instant) (fresh []wire.RelayCrash) {
	var list []crashes.Crash
	for _, t := range received {
		crash, ok := decodeCrash(t, now)
		switch {
		case !ok:
			c.log.Warn("crash_unreadable", zap.String("from", from), zap.Int("bytes", len(t.Request)), zap.Int("age_ms", t.AgeMS))
		case crash.Server == "":
			fresh = append(fresh, c.addServed(crash.Request, crash.At, now)...)
		default:
			list = append(list, crash)
		}
	}
	return append(fresh, c.add(from, list, now)...)
}

func encodeCrash(crash crashes.Crash, now monotime.Instant) wire.RelayCrash {
	return wire.RelayCrash{Request: crash.Request[:], Customer: crash.Customer, Server: crash.Server, AgeMS: ageMS(crash.At, now)}
}

func ageMS(at, now monotime.Instant) int { return int(max(0, now.Sub(at)).Milliseconds()) }

func decodeCrash(received wire.RelayCrash, now monotime.Instant) (out crashes.Crash, ok bool) {
	if len(received.Request) != len(out.Request) || received.AgeMS < 0 || received.AgeMS > int(crashes.Memory.Milliseconds()) {
		return out, false
	}
	copy(out.Request[:], received.Request)
	out.Customer, out.Server = received.Customer, received.Server
	out.At = now.Add(-time.Duration(received.AgeMS) * time.Millisecond)
	return out, true
}

// applyCrashes takes what a peer tells of crashes. What it tells this instance alone is
// passed on: there was no way between the two, and so perhaps none between others.
func (p *peers) applyCrashes(from string, update *wire.RelayNews, direct bool) {
	if len(update.Crashes) == 0 {
		return
	}
	now := monotime.Now()
	fresh := p.fleet.crashes.receive(from, update.Crashes, now)
	if direct {
		p.fleet.crashes.broadcast(fresh)
	}
}

// crashMetrics is what the metrics tell of requests that crash servers.
type crashMetrics struct {
	Suspects int   `json:"suspects"`
	Culprits int   `json:"culprits"`
	Refused  int64 `json:"refused"`
}

func (c *crashTracker) metrics() crashMetrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	return crashMetrics{Suspects: c.book.Len(), Culprits: c.book.Culprits(), Refused: c.refused.Load()}
}
