package orders

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// Timing of the permits over the fleet.
const (
	// DefaultLease is how long a permit is valid without renewal. A longer lease blocks the
	// permits of a failed holder, and all grants after a change of issuer, for longer. A
	// shorter one must still exceed Config.LoadPoll, whose reports renew the permit of a load.
	DefaultLease = 9 * time.Second
	// renewalsPerLease is how often a permit is renewed per lease. After two lost messages in
	// a row the next one is due as the lease ends; with 2 renewals, after one.
	renewalsPerLease = 3
	// waitingAskInterval is the interval between messages to the issuer while an engine waits
	// to load. A longer one leaves free permits unused for longer.
	waitingAskInterval = time.Second
	// minAskInterval is the minimum time between two messages to the issuer, also when the
	// entries change. A shorter one sends more messages during a rollout.
	minAskInterval = 200 * time.Millisecond
)

// LoadPermits implements LoadLimiter over the fleet, for one instance. One member is the
// issuer and keeps the permits. Each of the others sends it one message with all engines that
// hold a permit or wait for one, so that lost and repeated messages do no harm. It is not
// safe for concurrent use.
type LoadPermits struct {
	lease   time.Duration
	self    string
	issuer  string
	limit   int
	live    int
	total   int
	entries map[string]*loadEntry

	seq     int
	askedAt monotime.Instant
	// changed reports whether entries changed since the last message to the issuer.
	changed bool

	// localIssuer is set while this instance is the issuer.
	localIssuer *Issuer
	// grantedTo holds the engines that the last answer to each instance named.
	grantedTo map[string][]string
	// noGrantsUntil is when a new issuer starts to grant permits. By then the permits of an
	// earlier issuer have been renewed at this one or have expired.
	noGrantsUntil monotime.Instant
}

// loadEntry is an engine that loads or waits for a permit.
type loadEntry struct {
	// permitUntil is when the permit expires unless it is renewed.
	permitUntil monotime.Instant
	loading     bool
	// usedAt is the time of the last TryAcquire or Hold for the engine.
	usedAt monotime.Instant
}

// NewLoadPermits returns the LoadPermits of the instance self, without an issuer.
func NewLoadPermits(self string, lease time.Duration) *LoadPermits {
	return &LoadPermits{
		lease:   lease,
		self:    self,
		entries: make(map[string]*loadEntry),
	}
}

// SetIssuer sets the instance that issues permits, the limit of permits over the fleet, and
// that live of total instances are in this part of the fleet; see Issuer.SetShare.
func (l *LoadPermits) SetIssuer(now monotime.Instant, issuer string, limit, live, total int) {
	l.limit, l.live, l.total = limit, live, total
	if issuer != l.issuer {
		l.issuer = issuer
		l.changed = len(l.entries) > 0
		l.localIssuer = nil
		l.grantedTo = nil
		if issuer == l.self {
			l.becomeIssuer(now)
		}
	}
	if l.localIssuer != nil {
		l.localIssuer.SetLimit(limit)
		l.localIssuer.SetShare(live, total)
	}
}

func (l *LoadPermits) becomeIssuer(now monotime.Instant) {
	l.localIssuer = NewIssuer(l.limit, l.lease)
	l.grantedTo = make(map[string][]string)
	l.noGrantsUntil = now.Add(l.lease)
	for id, e := range l.entries {
		if e.holds(now) {
			l.localIssuer.Hold(now, id)
		}
	}
}

// holds reports whether the engine counts against the limit: it has a valid permit or loads.
func (e *loadEntry) holds(now monotime.Instant) bool {
	return e.loading || now.Before(e.permitUntil)
}

// TryAcquire implements LoadLimiter.
func (l *LoadPermits) TryAcquire(now monotime.Instant, key string) bool {
	e := l.entry(now, key)
	if l.localIssuer != nil {
		if now.Before(l.noGrantsUntil) || !l.localIssuer.TryAcquire(now, key) {
			return e.holds(now)
		}
		e.permitUntil = now.Add(l.lease)
	}
	return e.holds(now)
}

// Hold implements LoadLimiter.
func (l *LoadPermits) Hold(now monotime.Instant, key string) {
	e := l.entry(now, key)
	if !e.loading {
		e.loading = true
		l.changed = true
	}
	if l.localIssuer != nil {
		l.localIssuer.Hold(now, key)
	}
}

// Release implements LoadLimiter.
func (l *LoadPermits) Release(now monotime.Instant, key string) {
	if l.entries[key] == nil {
		return
	}
	delete(l.entries, key)
	l.changed = true
	if l.localIssuer != nil {
		l.localIssuer.Release(now, key)
	}
}

func (l *LoadPermits) entry(now monotime.Instant, key string) *loadEntry {
	e := l.entries[key]
	if e == nil {
		e = &loadEntry{}
		l.entries[key] = e
		l.changed = true
	}
	e.usedAt = now
	return e
}

// Tick drops the entries that were not used for a lease, and returns the message that is
// due to the issuer, or nil.
func (l *LoadPermits) Tick(now monotime.Instant) (issuer string, ask *wire.LoadAsk) {
	for id, e := range l.entries {
		if now.Sub(e.usedAt) >= l.lease {
			delete(l.entries, id)
			l.changed = true
		}
	}
	if l.issuer == "" || l.issuer == l.self || !l.askDue(now) {
		return "", nil
	}
	l.seq++
	l.askedAt = now
	l.changed = false
	return l.issuer, l.newAsk(now)
}

func (l *LoadPermits) askDue(now monotime.Instant) bool {
	since := now.Sub(l.askedAt)
	switch {
	case l.changed:
		return since >= minAskInterval
	case len(l.entries) == 0:
		return false
	case l.waiting(now):
		return since >= waitingAskInterval
	default:
		return since >= l.lease/renewalsPerLease
	}
}

func (l *LoadPermits) waiting(now monotime.Instant) bool {
	for _, e := range l.entries {
		if !e.holds(now) {
			return true
		}
	}
	return false
}

func (l *LoadPermits) newAsk(now monotime.Instant) *wire.LoadAsk {
	ask := &wire.LoadAsk{Seq: l.seq}
	for id, e := range l.entries {
		if e.holds(now) {
			ask.Holds = append(ask.Holds, id)
		} else {
			ask.Wants = append(ask.Wants, id)
		}
	}
	slices.Sort(ask.Holds)
	slices.Sort(ask.Wants)
	return ask
}

// OnAsk answers the message of another instance. It returns nil when this instance is not
// the issuer. The views of the members differ then and converge later.
func (l *LoadPermits) OnAsk(now monotime.Instant, from string, ask *wire.LoadAsk) *wire.LoadGive {
	if l.localIssuer == nil {
		return nil
	}
	give := &wire.LoadGive{Seq: ask.Seq, LeaseMS: int(l.lease / time.Millisecond)}
	l.releaseDropped(now, from, ask)
	for _, id := range ask.Holds {
		l.localIssuer.Hold(now, id)
		give.Engines = append(give.Engines, id)
	}
	for _, id := range ask.Wants {
		if !now.Before(l.noGrantsUntil) && l.localIssuer.TryAcquire(now, id) {
			give.Engines = append(give.Engines, id)
		}
	}
	l.grantedTo[from] = give.Engines
	if len(give.Engines) == 0 {
		delete(l.grantedTo, from)
	}
	return give
}

// releaseDropped releases the permits that were granted to the instance and that its message
// no longer names.
func (l *LoadPermits) releaseDropped(now monotime.Instant, from string, ask *wire.LoadAsk) {
	for _, id := range l.grantedTo[from] {
		if !slices.Contains(ask.Holds, id) && !slices.Contains(ask.Wants, id) {
			l.localIssuer.Release(now, id)
		}
	}
}

// OnGive applies the issuer's answer. The lease counts from the sending of the message, which
// is before the lease at the issuer begins, so that it never ends later here. Answers to
// older messages are ignored.
func (l *LoadPermits) OnGive(now monotime.Instant, from string, give *wire.LoadGive) {
	until := l.askedAt.Add(time.Duration(give.LeaseMS) * time.Millisecond)
	if from != l.issuer || give.Seq != l.seq || !now.Before(until) {
		return
	}
	for _, id := range give.Engines {
		if e := l.entries[id]; e != nil {
			e.permitUntil = until
		}
	}
}

// LoadPermitStats is the state of an instance's permits.
type LoadPermitStats struct {
	// Issuer is the id of the issuing instance.
	Issuer string `json:"issuer"`
	// Holding and Waiting are the numbers of engines of this instance that hold a permit or
	// load, and that wait for one.
	Holding int `json:"holding"`
	Waiting int `json:"waiting"`
	// Given is the number of permits in use, if this instance is the issuer.
	Given int `json:"given"`
}

// Stats returns the state of the permits.
func (l *LoadPermits) Stats(now monotime.Instant) LoadPermitStats {
	stats := LoadPermitStats{Issuer: l.issuer}
	for _, e := range l.entries {
		if e.holds(now) {
			stats.Holding++
		} else {
			stats.Waiting++
		}
	}
	if l.localIssuer != nil {
		stats.Given = l.localIssuer.Held(now)
	}
	return stats
}
