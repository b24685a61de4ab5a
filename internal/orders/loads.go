package orders

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// Timing of the permits over the fleet.
const (
	// DefaultLease is how long a permit holds without being renewed.
	DefaultLease = 9 * time.Second
	// renewalsPerLease lets two lost messages in a row cost no permit.
	renewalsPerLease = 3
	// waitingAskInterval is how often an instance asks while an engine waits to load.
	waitingAskInterval = time.Second
	// minAskInterval is the least time between two messages to the issuer.
	minAskInterval = 200 * time.Millisecond
)

// LoadPermits is one instance's part in the permits for loads over the fleet. The
// instance that all members take for the issuer keeps the book; the others tell
// it in one message all that they hold and want, so that a lost or repeated
// message changes nothing. It is a Permit, and not safe for concurrent use.
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
	// changed says that the issuer does not know yet what entries say.
	changed bool

	// localIssuer is used while this instance is the issuer.
	localIssuer *Issuer
	// grantedTo tells which engines each instance last named.
	grantedTo map[string][]string
	// noGrantsUntil is until when a new issuer gives nothing: the permits of an
	// earlier issuer are renewed here by then, or have lapsed.
	noGrantsUntil monotime.Instant
}

// loadEntry is an engine that loads or wants to.
type loadEntry struct {
	// permitUntil is when a permit that was not renewed lapses.
	permitUntil monotime.Instant
	loading     bool
	// usedAt is when the engine was last asked for or seen loading.
	usedAt monotime.Instant
}

// NewLoadPermits returns the part of the instance self.
func NewLoadPermits(self string, lease time.Duration) *LoadPermits {
	return &LoadPermits{
		lease:   lease,
		self:    self,
		entries: make(map[string]*loadEntry),
	}
}

// SetIssuer tells which instance issues, and how many permits live of total
// instances may give out together.
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

func (e *loadEntry) holds(now monotime.Instant) bool {
	return e.loading || now.Before(e.permitUntil)
}

// TryAcquire implements Permit.
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

// Hold implements Permit.
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

// Release implements Permit.
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

// Tick returns the message that is due to the issuer, if any.
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

// OnAsk takes the message of another instance. It returns nil when this one is
// not the issuer: the two see different members, and one of them will learn.
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

// releaseDropped takes back the permits that the holder named before and not now.
func (l *LoadPermits) releaseDropped(now monotime.Instant, from string, ask *wire.LoadAsk) {
	for _, id := range l.grantedTo[from] {
		if !slices.Contains(ask.Holds, id) && !slices.Contains(ask.Wants, id) {
			l.localIssuer.Release(now, id)
		}
	}
}

// OnGive takes the issuer's answer. The lease runs from the sending of the
// question, which is before the issuer's own began; an answer to an older
// question says nothing any more.
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
	// Issuer of permits.
	Issuer string `json:"issuer"`
	// Holding and Waiting engines of this instance.
	Holding int `json:"holding"`
	Waiting int `json:"waiting"`
	// Given permits, when this instance is the issuer.
	Given int `json:"given"`
}

// Stats returns the state.
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
