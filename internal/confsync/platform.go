package confsync

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/platformapi"
)

type callKind uint8

const (
	callWatch callKind = iota
	callManifest
	callInstances
	callChunk
)

// call is an open call to the platform.
type call struct {
	kind     callKind
	at       monotime.Instant
	deadline monotime.Instant
	// floor is the revision that the watch must exceed.
	floor uint64
	// watchedRevision is the revision in the watch answer that caused this manifest read.
	watchedRevision uint64
}

// platformState tracks the open calls to the platform.
type platformState struct {
	lastCall       CallID
	pending        map[CallID]call
	nextWatch      monotime.Instant
	failures       int
	highestRefused uint64
	instances      int
	lastStale      uint64
}

var errTimeout = errors.New("no answer within the timeout")

func newPlatformState(now monotime.Instant) platformState {
	return platformState{pending: make(map[CallID]call), nextWatch: now}
}

func (p *platformState) reset(now monotime.Instant) {
	clear(p.pending)
	p.failures = 0
	p.nextWatch = now
}

// dropWatch ends a watch whose floor is a revision that could not be fetched.
func (p *platformState) dropWatch() {
	for number, opened := range p.pending {
		if opened.kind == callWatch {
			delete(p.pending, number)
		}
	}
}

func (p *platformState) openCall(opened call) CallID {
	p.lastCall++
	p.pending[p.lastCall] = opened
	return p.lastCall
}

// closeCall removes an open call. It returns false if the call was already abandoned.
func (p *platformState) closeCall(number CallID, kind callKind) (call, bool) {
	opened, ok := p.pending[number]
	if !ok || opened.kind != kind {
		return call{}, false
	}
	delete(p.pending, number)
	return opened, true
}

// busy reports whether a call other than a value read is open. Another watch would only
// return the same answer.
func (p *platformState) busy() bool {
	for _, opened := range p.pending {
		if opened.kind != callChunk {
			return true
		}
	}
	return false
}

// stagger returns a fixed fraction of d that differs between instances, so that instances
// which become extra readers for the same cause do not all do so at once.
func (c *Core) stagger(d time.Duration) time.Duration {
	return time.Duration(c.staggerFraction * float64(d))
}

// highestDecided returns the highest revision that was put in force, or refused as read
// from the platform.
func (c *Core) highestDecided() uint64 {
	return max(c.current.id.number, c.platform.highestRefused)
}

func (c *Core) watchFloor() uint64 {
	floor := c.highestDecided()
	for id, cand := range c.candidates {
		if cand.platformAt != 0 {
			floor = max(floor, id.number)
		}
	}
	return floor
}

func (c *Core) watchIfDue(now monotime.Instant, eff Effects) {
	p := &c.platform
	if !c.Reader() || now.Before(p.nextWatch) || p.busy() {
		return
	}
	c.stats.Watches++
	if c.resuming {
		// Return the current revision without waiting: dispatch is on hold until it is
		// confirmed.
		opened := call{kind: callWatch, at: now, deadline: now.Add(c.cfg.CallTimeout)}
		eff.Watch(p.openCall(opened), 0, 0, 0)
		return
	}
	deadline := now.Add(c.cfg.WatchWait + c.cfg.CallTimeout)
	made := call{kind: callWatch, at: now, deadline: deadline, floor: c.watchFloor()}
	eff.Watch(p.openCall(made), made.floor, p.instances, c.cfg.WatchWait)
}

// expireCalls abandons calls without an answer by their deadline: an unresponsive
// connection may never return one.
func (c *Core) expireCalls(now monotime.Instant, eff Effects) {
	timedOut := false
	for number, opened := range c.platform.pending {
		if now.Before(opened.deadline) {
			continue
		}
		delete(c.platform.pending, number)
		c.failChunk(number)
		timedOut = true
	}
	if timedOut {
		c.platformFailed(now, errTimeout, eff)
	}
}

func (c *Core) platformFailed(now monotime.Instant, err error, eff Effects) {
	c.stats.PlatformErrors++
	c.delayWatch(now)
	eff.Report(Event{Kind: EventPlatform, Err: err})
}

func (c *Core) delayWatch(now monotime.Instant) {
	limit := backoffMax
	c.platform.failures++
	if !c.reader {
		// All learners of the fleet may become extra readers for the same cause.
		limit = extraReaderBackoffMax
		c.platform.failures = max(c.platform.failures, extraReaderMinFailures)
	}
	c.platform.nextWatch = now.Add(c.backoff(c.platform.failures, limit))
}

// OnWatch handles the end of a watch. A nil answer without an error means that there is
// nothing newer.
func (c *Core) OnWatch(now monotime.Instant, number CallID, answer *platformapi.WatchAnswer, err error, eff Effects) {
	opened, ok := c.platform.closeCall(number, callWatch)
	if !ok {
		return
	}
	switch {
	case err != nil:
		c.platformFailed(now, err, eff)
	case answer == nil:
		c.onNothingNewer(now, opened)
	default:
		c.onWatchAnswer(now, opened, answer, eff)
	}
	c.advance(now, eff)
}

func (c *Core) onNothingNewer(now monotime.Instant, opened call) {
	if opened.floor <= c.highestDecided() && opened.floor > 0 {
		c.confirm(opened.at)
		c.confirmPlatform(opened.at)
	}
	if now.Sub(opened.at) < c.cfg.WatchWait/2 {
		// A platform that answers without waiting would otherwise be called again at
		// once.
		c.delayWatch(now)
		return
	}
	c.platform.failures = 0
	c.platform.nextWatch = now
}

func (c *Core) onWatchAnswer(now monotime.Instant, opened call, answer *platformapi.WatchAnswer, eff Effects) {
	p := &c.platform
	useful := false
	if answer.InstancesVersion > p.instances {
		useful = true
		eff.FetchInstances(p.openCall(call{kind: callInstances, at: now, deadline: now.Add(c.cfg.CallTimeout)}))
		c.stats.Reads++
	}
	revision := uint64(max(answer.Revision, 0))
	switch {
	case c.waitsForList(answer):
		// The instance list decides whether this instance reads the configuration.
	case revision > c.watchFloor():
		useful = true
		c.stats.Reads++
		eff.FetchManifest(p.openCall(call{kind: callManifest, at: opened.at, deadline: now.Add(c.cfg.CallTimeout), watchedRevision: revision}))
	case revision > c.highestDecided():
		// Already being fetched; nothing is confirmed until it is complete.
	case revision == c.highestDecided():
		useful = useful || c.resuming
		c.confirm(opened.at)
		c.confirmPlatform(opened.at)
	default:
		c.reportStale(revision, eff)
	}
	if !useful {
		// A platform that answers at once with nothing newer would otherwise be called in
		// an endless loop.
		c.delayWatch(now)
		return
	}
	p.nextWatch = now
}

// waitsForList reports whether a process that has just started must read the instance
// list before the configuration. Without the list each process considers itself a reader
// until it meets a peer: a fleet of 360 that starts at once would read everything 360
// times, which is 25 s of the platform's call rate. If the list cannot be read, the
// process does not wait for it.
func (c *Core) waitsForList(answer *platformapi.WatchAnswer) bool {
	starts := c.current.id.number == 0 && len(c.live) <= 1
	return starts && c.platform.instances == 0 && c.platform.failures == 0 && answer.InstancesVersion > 0
}

// SetListed sets the instances that the platform lists. Until a configuration is in force
// they count as members for the choice of readers.
func (c *Core) SetListed(listed []Member) {
	c.listed = slices.Clone(listed)
	c.electReader()
}

// reportStale reports a lower revision and keeps the one in force: a lower revision is an
// outdated answer, never a withdrawal.
func (c *Core) reportStale(revision uint64, eff Effects) {
	c.stats.StaleAnswers++
	if c.platform.lastStale == revision {
		return
	}
	c.platform.lastStale = revision
	eff.Report(Event{Kind: EventStale, Revision: revision})
}

// OnManifest handles the manifest currently published at the platform.
func (c *Core) OnManifest(now monotime.Instant, number CallID, data []byte, err error, eff Effects) {
	opened, ok := c.platform.closeCall(number, callManifest)
	if !ok {
		return
	}
	c.stats.BytesOfRead += uint64(len(data))
	if err == nil && len(data) > MaxValueBytes {
		err = errors.Errorf("manifest too large: %d bytes", len(data))
	}
	if err != nil {
		c.platformFailed(now, err, eff)
	} else {
		c.useManifestRead(now, opened, data, eff)
	}
	c.advance(now, eff)
}

func (c *Core) useManifestRead(now monotime.Instant, opened call, data []byte, eff Effects) {
	manifest, err := parseManifest(data)
	if manifest == nil || manifest.Revision < 1 {
		c.platformFailed(now, err, eff)
		return
	}
	id := revisionID{number: uint64(manifest.Revision), hash: hashOf(data)}
	if id.number < opened.watchedRevision {
		// Watch answers and values may come from replicas of different age.
		c.delayWatch(now)
	}
	switch {
	case c.isRefused(id):
		c.platform.highestRefused = max(c.platform.highestRefused, id.number)
		c.confirm(opened.at)
	case id.number < c.current.id.number:
		c.reportStale(id.number, eff)
	case id.number == c.current.id.number:
		if id.hash != c.current.id.hash {
			c.reportConflict(id, platformSource, eff)
		}
	default:
		cand := c.ensureCandidate(now, id)
		cand.platformAt = opened.at
		cand.raw = data
		cand.retryAt = now
		delete(cand.failed, platformSource)
		if err != nil {
			c.refuse(id, err, eff)
		}
	}
}

// OnInstances records that the owner has read the given version of the instance list.
func (c *Core) OnInstances(now monotime.Instant, number CallID, version int, err error, eff Effects) {
	if _, ok := c.platform.closeCall(number, callInstances); !ok {
		return
	}
	if err != nil {
		c.platformFailed(now, err, eff)
	} else {
		c.platform.instances = max(c.platform.instances, version)
	}
	c.advance(now, eff)
}

// OnChunk handles one value.
func (c *Core) OnChunk(now monotime.Instant, number CallID, data []byte, err error, eff Effects) {
	if _, ok := c.platform.closeCall(number, callChunk); !ok {
		return
	}
	c.stats.BytesOfRead += uint64(len(data))
	if err != nil {
		c.failChunk(number)
		c.platformFailed(now, err, eff)
	} else if it := c.findChunk(number); it != nil {
		it.data = data
		c.finishItem(it, eff)
		if !it.done {
			// The value was replaced or is not available yet. The manifest must be read
			// again, but not immediately.
			c.delayWatch(now)
		}
	}
	c.advance(now, eff)
}

func (c *Core) findChunk(number CallID) *item {
	if c.fetch == nil {
		return nil
	}
	for _, it := range c.fetch.items {
		if it.active && it.source == platformSource && it.call == number {
			return it
		}
	}
	return nil
}

func (c *Core) failChunk(number CallID) {
	if it := c.findChunk(number); it != nil {
		c.fetch.failSource(platformSource)
	}
}
