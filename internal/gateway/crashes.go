package gateway

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"basilrudder/internal/crashes"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// crashesPerMessage bounds the crashes in a message: some 16 KB.
const crashesPerMessage = 256

// crashTracker tracks the requests suspected of crashing servers. It exchanges crashes
// with all instances.
type crashTracker struct {
	log     *zap.Logger
	updates *updateBatcher

	// suspectedCount is the number of tracked requests. While it is zero, requests need
	// neither a fingerprint nor the lock.
	suspectedCount atomic.Int64
	// refused counts the times that a poison request was not sent on.
	refused atomic.Int64

	mu      sync.Mutex
	tracker *crashes.Tracker
	falls   *crashes.Falls
}

func newCrashTracker(updates *updateBatcher, log *zap.Logger) *crashTracker {
	return &crashTracker{log: log, updates: updates, tracker: crashes.NewTracker(), falls: crashes.NewFalls()}
}

// AnySuspected implements relay.Fleet.
func (f *fleet) AnySuspected() bool { return f.crashes.suspectedCount.Load() > 0 }

// IsPoison implements relay.Fleet.
func (f *fleet) IsPoison(request crashes.Fingerprint, now monotime.Instant) bool {
	return f.crashes.isPoison(request, now)
}

// Crashed implements relay.Fleet.
func (f *fleet) Crashed(crash crashes.Crash, now monotime.Instant) {
	if f.endWasAnnounced(crash.Server) {
		f.log.Info("announced_end_not_counted", zap.String("server", crash.Server))
		return
	}
	f.recordCrash(crash, now)
}

// recordCrash records a crash and reports it to all peers.
func (f *fleet) recordCrash(crash crashes.Crash, now monotime.Instant) {
	f.crashes.broadcast(f.crashes.add(f.self, []crashes.Crash{crash}, now))
	f.checkFall(crash.Server, crash.At, now)
}

// Survived implements relay.Fleet.
func (f *fleet) Survived(request crashes.Fingerprint, begunAt monotime.Instant) {
	f.crashes.broadcast(f.crashes.addSurvived(request, begunAt, monotime.Now()))
}

func (c *crashTracker) isPoison(request crashes.Fingerprint, now monotime.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.tracker.Poison(request, now)
	if found {
		c.refused.Add(1)
	}
	return found
}

// add records crashes and returns those that were not recorded before.
func (c *crashTracker) add(from string, list []crashes.Crash, now monotime.Instant) (added []wire.RelayCrash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, crash := range list {
		fresh, poison := c.tracker.Add(crash, now)
		if !fresh {
			continue
		}
		added = append(added, encodeCrash(crash, now))
		if poison {
			c.log.Warn("request_crashes_servers", zap.String("from", from), zap.Binary("fingerprint", crash.Request[:]),
				zap.String("customer", crash.Customer), zap.String("server", crash.Server), zap.Duration("age_ms", now.Sub(crash.At)))
		}
	}
	c.suspectedCount.Store(int64(c.tracker.Len()))
	return added
}

// addSurvived records a run that ended without a crash. It returns the run if peers are
// to be informed: the request is tracked, and no recent run of it without a crash was
// recorded.
func (c *crashTracker) addSurvived(request crashes.Fingerprint, at, now monotime.Instant) []wire.RelayCrash {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.tracker.CrashCount(request)
	fresh := c.tracker.Survived(request, at)
	if cleared := before - c.tracker.CrashCount(request); cleared > 0 {
		c.log.Info("crashes_cleared", zap.Binary("fingerprint", request[:]), zap.Int("crashes", cleared), zap.Duration("age_ms", now.Sub(at)))
	}
	if !fresh {
		return nil
	}
	return []wire.RelayCrash{{Request: request[:], AgeMS: ageMS(at, now)}}
}

// broadcast sends crashes to all peers.
func (c *crashTracker) broadcast(list []wire.RelayCrash) {
	if len(list) > 0 {
		c.updates.addCrashes(list)
	}
}

// expire removes requests that have not occurred for a long time.
func (c *crashTracker) expire(now monotime.Instant) {
	if c.suspectedCount.Load() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Expire(now)
	c.suspectedCount.Store(int64(c.tracker.Len()))
}

// encodeAll returns all recorded crashes and runs without a crash, for a peer that may
// have missed some.
func (c *crashTracker) encodeAll(now monotime.Instant) (out []wire.RelayCrash) {
	if c.suspectedCount.Load() == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, crash := range c.tracker.Crashes() {
		out = append(out, encodeCrash(crash, now))
	}
	for request, at := range c.tracker.SurvivedAt() {
		out = append(out, wire.RelayCrash{Request: request[:], AgeMS: ageMS(at, now)})
	}
	return out
}

// receive applies crashes that a peer sent and returns those that were not recorded
// before.
func (c *crashTracker) receive(from string, received []wire.RelayCrash, now monotime.Instant) (fresh []wire.RelayCrash) {
	var list []crashes.Crash
	for _, t := range received {
		crash, ok := decodeCrash(t, now)
		switch {
		case !ok:
			c.log.Warn("crash_unreadable", zap.String("from", from), zap.Int("bytes", len(t.Request)), zap.Int("age_ms", t.AgeMS))
		case crash.Server == "":
			fresh = append(fresh, c.addSurvived(crash.Request, crash.At, now)...)
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
	if len(received.Request) != len(out.Request) {
		return out, false
	}
	copy(out.Request[:], received.Request)
	out.Customer, out.Server = received.Customer, received.Server
	out.At, ok = decodeEnd(received.AgeMS, now)
	return out, ok
}

// decodeEnd decodes when a server ended, or a run of a suspected request did.
func decodeEnd(ageMS int, now monotime.Instant) (at monotime.Instant, ok bool) {
	if ageMS < 0 || ageMS > int(crashes.Retention.Milliseconds()) {
		return 0, false
	}
	return now.Add(-milliseconds(ageMS)), true
}

// applyCrashes applies the crashes that a peer sent. If they were sent to this instance
// only, the new ones are passed on: the two instances had no connection before, and so
// perhaps neither had others.
func (p *peers) applyCrashes(from string, update *wire.RelayNews, direct bool) {
	if len(update.Crashes) == 0 {
		return
	}
	now := monotime.Now()
	fresh := p.fleet.crashes.receive(from, update.Crashes, now)
	if direct {
		p.fleet.crashes.broadcast(fresh)
	}
	for _, crash := range fresh {
		if crash.Server != "" {
			p.fleet.checkFall(crash.Server, now.Add(-milliseconds(crash.AgeMS)), now)
		}
	}
}

// crashMetrics is the state of poison request detection in the metrics.
type crashMetrics struct {
	SuspectedRequests int   `json:"suspects"`
	PoisonRequests    int   `json:"culprits"`
	Refused           int64 `json:"refused"`
}

func (c *crashTracker) metrics() crashMetrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	return crashMetrics{SuspectedRequests: c.tracker.Len(), PoisonRequests: c.tracker.PoisonCount(), Refused: c.refused.Load()}
}
