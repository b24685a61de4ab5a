package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/crashes"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

const (
	// crashesPerMessage bounds the crashes in a message: some 30 KB.
	crashesPerMessage = 256
	// exposureSamples is the number of runs over which their exposure is averaged.
	exposureSamples = 64
)

// crashTracker tracks the content suspected of crashing servers. It exchanges crashes with
// all instances.
type crashTracker struct {
	log     *zap.Logger
	updates *updateBatcher
	// trialPlace returns the place of this instance among those that may send a culprit on
	// for trial.
	trialPlace func(content string) (place int, ok bool)
	// serversLike returns the service of a server and the ids of its servers.
	serversLike func(server string) (service string, ids []string)

	// exposure is for how long runs here are blamed if their servers end, on average.
	exposure atomic.Int64
	// suspectedCount is the number of tracked contents. While it is zero, requests need
	// neither a fingerprint nor the lock.
	suspectedCount atomic.Int64
	// refusedCount and postponedCount count the requests that were not sent on.
	refusedCount, postponedCount atomic.Int64

	mu      sync.Mutex
	tracker *crashes.Tracker
	falls   *crashes.Falls
	known   int // culprits that were logged

	// runsMu guards runs, which each answer to a prompt changes.
	runsMu sync.Mutex
	runs   *crashes.Runs
}

func newCrashTracker(updates *updateBatcher, log *zap.Logger) *crashTracker {
	return &crashTracker{
		log: log, updates: updates, tracker: crashes.NewTracker(), falls: crashes.NewFalls(), runs: crashes.NewRuns(),
		trialPlace:  func(string) (int, bool) { return 0, true },
		serversLike: func(string) (string, []string) { return "", nil },
	}
}

// AnySuspected implements relay.Fleet.
func (f *fleet) AnySuspected() bool { return f.crashes.suspectedCount.Load() > 0 }

// Decide implements relay.Fleet.
func (f *fleet) Decide(id string, content crashes.Content, now monotime.Instant) crashes.Decision {
	return f.crashes.decide(id, content, now)
}

// ObserveExposure implements relay.Fleet.
func (f *fleet) ObserveExposure(d time.Duration) {
	mean := &f.crashes.exposure
	// A sample that is lost to another at the same time makes no difference.
	if old := mean.Load(); old == 0 {
		mean.Store(int64(d))
	} else {
		mean.CompareAndSwap(old, old+(int64(d)-old)/exposureSamples)
	}
}

// serversLike returns the service of a server and the ids of the servers of the service that
// accept requests.
func (f *fleet) serversLike(server string) (service string, ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.registry.Get(server)
	if !ok {
		return "", nil
	}
	if list := f.serverLists()[s.Service]; list != nil {
		for i := range list.accepting {
			ids = append(ids, list.accepting[i].ID)
		}
	}
	return s.Service, ids
}

// Crashed implements relay.Fleet.
func (f *fleet) Crashed(crash crashes.Crash, now monotime.Instant) {
	if f.endWasAnnounced(crash.Server) {
		f.log.Info("announced_end_not_counted", zap.String("server", crash.Server))
		return
	}
	f.recordCrash(crash, now)
}

// recordCrash records a crash and reports it to all peers, with the runs here that
// exonerate parts of the request.
func (f *fleet) recordCrash(crash crashes.Crash, now monotime.Instant) {
	crash.From = f.self
	list := f.crashes.add([]crashes.Crash{crash}, now)
	f.crashes.broadcast(append(list, f.crashes.addOwnRuns(crash.Parts, now)...))
	f.checkFall(crash.Server, crash.At, now)
}

// Survived implements relay.Fleet.
func (f *fleet) Survived(content crashes.Content, begunAt monotime.Instant) {
	c := f.crashes
	if len(content.Parts) > 0 {
		c.runsMu.Lock()
		c.runs.Record(content.Parts, begunAt)
		c.runsMu.Unlock()
	}
	if !f.AnySuspected() {
		return
	}
	now := monotime.Now()
	var fresh []wire.RelayCrash
	for _, one := range append(content.Parts[:len(content.Parts):len(content.Parts)], content.Request) {
		fresh = append(fresh, c.addRun(one, begunAt, now, c.tracker.Ran)...)
	}
	c.broadcast(fresh)
}

// decide returns what becomes of a request, and logs why it is not sent.
func (c *crashTracker) decide(id string, content crashes.Content, now monotime.Instant) crashes.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	culprit, refused := c.tracker.Refuses(content, now, &crashes.Trial{ID: id, May: c.mayTry})
	fields := func() []zap.Field { return append(culpritFields(&culprit, now), zap.String("id", id)) }
	switch {
	case refused && culprit.Decision == crashes.Reject:
		c.refusedCount.Add(1)
		c.log.Info("request_refused_as_poison", fields()...)
	case refused:
		c.postponedCount.Add(1)
		c.log.Info("request_postponed_as_suspect", fields()...)
	case len(culprit.Contents) > 0:
		c.log.Info("culprit_tried", fields()...)
		return crashes.Send
	}
	return culprit.Decision
}

// mayTry reports whether this instance may send a culprit on for trial: one may at first,
// and twice as many after each step.
func (c *crashTracker) mayTry(content crashes.Fingerprint, steps int) bool {
	place, ok := c.trialPlace(string(content[:]))
	const maxDoublings = 16
	return ok && place < 1<<min(steps, maxDoublings)
}

func culpritFields(culprit *crashes.Culprit, now monotime.Instant) []zap.Field {
	return []zap.Field{
		zap.Stringers("content", culprit.Contents), zap.String("customer", culprit.Customer),
		zap.Strings("ends", culprit.Ends), zap.Strings("from", culprit.From), zap.Duration("age_ms", now.Sub(culprit.LastEnd)),
		zap.Bool("confirmed", culprit.Decision == crashes.Reject), zap.Int("ends_required", culprit.Chance.Required),
		zap.Int("other_ends", culprit.Chance.OtherEnds), zap.Float64("end_probability", culprit.Chance.PerRun),
	}
}

// add records crashes and returns those that were not recorded before.
func (c *crashTracker) add(list []crashes.Crash, now monotime.Instant) (added []wire.RelayCrash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if mean := c.exposure.Load(); mean > 0 {
		c.tracker.SetExposure(time.Duration(mean))
	}
	for _, crash := range list {
		if !c.tracker.Ended(crash.Server) {
			crash.Pool = c.poolOf(crash.Server)
		}
		if fresh, _ := c.tracker.Add(crash, now); fresh {
			added = append(added, encodeCrash(crash, now))
		}
	}
	c.update(now)
	return added
}

// poolOf returns the servers among which one that ended was chosen; mu is held. Entries of
// servers that ended before may still be listed.
func (c *crashTracker) poolOf(server string) crashes.Pool {
	service, ids := c.serversLike(server)
	ids = slices.DeleteFunc(ids, c.tracker.Ended)
	return crashes.Pool{Service: service, Servers: len(ids)}
}

// update publishes the number of suspects and logs the culprits if they have changed; mu
// is held.
func (c *crashTracker) update(now monotime.Instant) {
	c.suspectedCount.Store(int64(c.tracker.Len()))
	culprits := c.tracker.Confirmed(now)
	if len(culprits) > c.known {
		for i := range culprits {
			c.log.Warn("request_crashes_servers", culpritFields(&culprits[i], now)...)
		}
	}
	c.known = len(culprits)
}

// addOwnRuns records the latest runs here with parts that a crash made suspects. It returns
// those to be sent to peers.
func (c *crashTracker) addOwnRuns(parts []crashes.Fingerprint, now monotime.Instant) (fresh []wire.RelayCrash) {
	for _, part := range parts {
		c.runsMu.Lock()
		begunAt, ok := c.runs.Last(part, now)
		c.runsMu.Unlock()
		if ok {
			fresh = append(fresh, c.addRun(part, begunAt, now, c.tracker.Ran)...)
		}
	}
	return fresh
}

// addRun records a run without a crash by one of the tracker's methods. It returns the run
// if peers are to be informed.
func (c *crashTracker) addRun(content crashes.Fingerprint, begunAt, now monotime.Instant, record func(crashes.Fingerprint, monotime.Instant) bool) []wire.RelayCrash {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.tracker.EndCount(content)
	fresh := record(content, begunAt)
	if cleared := before - c.tracker.EndCount(content); cleared > 0 {
		c.log.Info("crashes_cleared", zap.Stringer("content", content), zap.Int("ends", cleared), zap.Duration("age_ms", now.Sub(begunAt)))
	}
	if !fresh {
		return nil
	}
	c.update(now)
	return []wire.RelayCrash{{Request: content[:], AgeMS: ageMS(begunAt, now)}}
}

// broadcast sends crashes to all peers.
func (c *crashTracker) broadcast(list []wire.RelayCrash) {
	if len(list) > 0 {
		c.updates.addCrashes(list)
	}
}

// expire removes content that has not occurred for a long time.
func (c *crashTracker) expire(now monotime.Instant) {
	if c.suspectedCount.Load() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Expire(now)
	c.update(now)
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
	for content, at := range c.tracker.SurvivedAt() {
		out = append(out, wire.RelayCrash{Request: content[:], AgeMS: ageMS(at, now)})
	}
	return out
}

// receive applies crashes that a peer sent. It returns those that were not recorded before,
// and the runs here that exonerate parts of these.
func (c *crashTracker) receive(from string, received []wire.RelayCrash, now monotime.Instant) (fresh, own []wire.RelayCrash) {
	var list []crashes.Crash
	for _, t := range received {
		crash, ok := decodeCrash(t, now)
		crash.From = from
		switch {
		case !ok:
			c.log.Warn("crash_unreadable", zap.String("from", from), zap.Int("bytes", len(t.Request)), zap.Int("parts", len(t.Parts)), zap.Int("age_ms", t.AgeMS))
		case crash.Server == "":
			fresh = append(fresh, c.addRun(crash.Request, crash.At, now, c.tracker.Survived)...)
		default:
			list = append(list, crash)
		}
	}
	fresh = append(fresh, c.add(list, now)...)
	for _, crash := range list {
		own = append(own, c.addOwnRuns(c.withSeveralEnds(crash.Parts), now)...)
	}
	return fresh, own
}

// withSeveralEnds returns the parts with several ends. With fewer, a run of theirs changes
// nothing.
func (c *crashTracker) withSeveralEnds(parts []crashes.Fingerprint) (out []crashes.Fingerprint) {
	const several = 2
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range parts {
		if c.tracker.EndCount(part) >= several {
			out = append(out, part)
		}
	}
	return out
}

// applyCrashes applies the crashes that a peer sent. If they were sent to this instance
// only, the new ones are passed on: the two instances had no connection before, and so
// perhaps neither had others.
func (p *peers) applyCrashes(from string, update *wire.RelayNews, direct bool) {
	if len(update.Crashes) == 0 {
		return
	}
	now := monotime.Now()
	fresh, own := p.fleet.crashes.receive(from, update.Crashes, now)
	if direct {
		p.fleet.crashes.broadcast(fresh)
	}
	p.fleet.crashes.broadcast(own)
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
	Postponed         int64 `json:"postponed"`
	// ExposureMS is for how long runs are blamed if their servers end, on average.
	ExposureMS int64 `json:"exposureMs"`
}

func (c *crashTracker) metrics() crashMetrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	return crashMetrics{
		SuspectedRequests: c.tracker.Len(), PoisonRequests: len(c.tracker.Confirmed(monotime.Now())), Refused: c.refusedCount.Load(),
		Postponed: c.postponedCount.Load(), ExposureMS: time.Duration(c.exposure.Load()).Milliseconds(),
	}
}
