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

// crashesAtOnce is how many crashes are told in a message: some 16 KB.
const crashesAtOnce = 256

// crashBook is what this instance knows of requests that crash servers, shared with all
// others.
type crashBook struct {
	log  *zap.Logger
	news *newsroom

	// known is the number of requests in the book, so that calm costs nothing.
	known atomic.Int64
	// refused counts requests that were not sent on.
	refused atomic.Int64

	mu   sync.Mutex
	book *crashes.Tracker
}

func newCrashBook(news *newsroom, log *zap.Logger) *crashBook {
	return &crashBook{log: log, news: news, book: crashes.NewTracker()}
}

// Suspects implements relay.Fleet.
func (f *fleet) Suspects() bool { return f.crashes.known.Load() > 0 }

// Culprit implements relay.Fleet.
func (f *fleet) Culprit(request crashes.Fingerprint, now monotime.Instant) bool {
	return f.crashes.culprit(request, now)
}

// Crashed implements relay.Fleet.
func (f *fleet) Crashed(crash crashes.Crash, now monotime.Instant) {
	f.crashes.tell(f.crashes.add(f.self, []crashes.Crash{crash}, now))
}

// Survived implements relay.Fleet.
func (f *fleet) Survived(request crashes.Fingerprint, now monotime.Instant) {
	f.crashes.tell(f.crashes.addServed(request, now, now))
}

func (c *crashBook) culprit(request crashes.Fingerprint, now monotime.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.book.Poison(request, now)
	if found {
		c.refused.Add(1)
	}
	return found
}

// add takes crashes and returns what of them is news.
func (c *crashBook) add(from string, list []crashes.Crash, now monotime.Instant) (news []wire.RelayCrash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, crash := range list {
		fresh, culprit := c.book.Add(crash, now)
		if !fresh {
			continue
		}
		news = append(news, encodeCrash(crash, now))
		if culprit {
			c.log.Warn("request_crashes_servers", zap.String("from", from), zap.Binary("fingerprint", crash.Request[:]),
				zap.String("customer", crash.Customer), zap.String("server", crash.Server), zap.Duration("age_ms", now.Sub(crash.At)))
		}
	}
	c.known.Store(int64(c.book.Len()))
	return news
}

// addServed takes a run without a crash and returns what of it is news.
func (c *crashBook) addServed(request crashes.Fingerprint, at, now monotime.Instant) []wire.RelayCrash {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.book.Served(request, at) {
		return nil
	}
	return []wire.RelayCrash{{Request: request[:], AgeMS: ageOf(at, now)}}
}

// tell tells all peers.
func (c *crashBook) tell(news []wire.RelayCrash) {
	if len(news) > 0 {
		c.news.crashes(news)
	}
}

// expire forgets what has not come for long.
func (c *crashBook) expire(now monotime.Instant) {
	if c.known.Load() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.book.Expire(now)
	c.known.Store(int64(c.book.Len()))
}

// all returns all that is known, for a peer that may have missed some.
func (c *crashBook) all(now monotime.Instant) (out []wire.RelayCrash) {
	if c.known.Load() == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, crash := range c.book.Crashes() {
		out = append(out, encodeCrash(crash, now))
	}
	for request, at := range c.book.ServedAt() {
		out = append(out, wire.RelayCrash{Request: request[:], AgeMS: ageOf(at, now)})
	}
	return out
}

// take takes what a peer tells and returns what of it is news here.
func (c *crashBook) take(from string, told []wire.RelayCrash, now monotime.Instant) (news []wire.RelayCrash) {
	var list []crashes.Crash
	for _, t := range told {
		crash, ok := decodeCrash(t, now)
		switch {
		case !ok:
			c.log.Warn("crash_unreadable", zap.String("from", from), zap.Int("bytes", len(t.Request)), zap.Int("age_ms", t.AgeMS))
		case crash.Server == "":
			news = append(news, c.addServed(crash.Request, crash.At, now)...)
		default:
			list = append(list, crash)
		}
	}
	return append(news, c.add(from, list, now)...)
}

func encodeCrash(crash crashes.Crash, now monotime.Instant) wire.RelayCrash {
	return wire.RelayCrash{Request: crash.Request[:], Customer: crash.Customer, Server: crash.Server, AgeMS: ageOf(crash.At, now)}
}

func ageOf(at, now monotime.Instant) int { return int(max(0, now.Sub(at)).Milliseconds()) }

func decodeCrash(told wire.RelayCrash, now monotime.Instant) (out crashes.Crash, ok bool) {
	if len(told.Request) != len(out.Request) || told.AgeMS < 0 || told.AgeMS > int(crashes.Retention.Milliseconds()) {
		return out, false
	}
	copy(out.Request[:], told.Request)
	out.Customer, out.Server = told.Customer, told.Server
	out.At = now.Add(-time.Duration(told.AgeMS) * time.Millisecond)
	return out, true
}

// takeCrashes takes what a peer tells of crashes. What it tells this instance alone is
// passed on: there was no way between the two, and so perhaps none between others.
func (p *peers) takeCrashes(from string, news *wire.RelayNews, direct bool) {
	if len(news.Crashes) == 0 {
		return
	}
	now := monotime.Now()
	fresh := p.fleet.crashes.take(from, news.Crashes, now)
	if direct {
		p.fleet.crashes.tell(fresh)
	}
}

// crashState is what the metrics tell of requests that crash servers.
type crashState struct {
	Suspects int   `json:"suspects"`
	Culprits int   `json:"culprits"`
	Refused  int64 `json:"refused"`
}

func (c *crashBook) state() crashState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return crashState{Suspects: c.book.Len(), Culprits: c.book.PoisonCount(), Refused: c.refused.Load()}
}
