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
	// wantEvery is how often an instance asks while an engine waits to load.
	wantEvery = time.Second
	// askGap is the least time between two messages to the issuer.
	askGap = 200 * time.Millisecond
)

// Loads is one instance's part in the permits for loads over the fleet. The
// instance that all members take for the issuer keeps the book; the others tell
// it in one message all that they hold and want, so that a lost or repeated
// message changes nothing. It is a Permit, and not safe for concurrent use.
type Loads struct {
	lease   time.Duration
	self    string
	issuer  string
	limit   int
	live    int
	total   int
	entries map[string]*load

	seq     int
	askedAt monotime.Instant
	// changed says that the issuer does not know yet what entries say.
	changed bool

	// book is used while this instance is the issuer.
	book *Issuer
	// holders tells which engines each instance last named.
	holders map[string][]string
	// learnUntil is until when a new issuer gives nothing: the permits of an
	// earlier issuer are renewed here by then, or have lapsed.
	learnUntil monotime.Instant
}

// load is an engine that loads or wants to.
type load struct {
	// allowedUntil is when a permit that was not renewed lapses.
	allowedUntil monotime.Instant
	loading      bool
	// usedAt is when the engine was last asked for or seen loading.
	usedAt monotime.Instant
}

// NewLoads returns the part of the instance self.
func NewLoads(self string, lease time.Duration) *Loads {
	return &Loads{
		lease:   lease,
		self:    self,
		entries: make(map[string]*load),
	}
}

// SetIssuer tells which instance issues, and how many permits live of total
// instances may give out together.
func (l *Loads) SetIssuer(now monotime.Instant, issuer string, limit, live, total int) {
	l.limit, l.live, l.total = limit, live, total
	if issuer != l.issuer {
		l.issuer = issuer
		l.changed = len(l.entries) > 0
		l.book = nil
		l.holders = nil
		if issuer == l.self {
			l.takeOver(now)
		}
	}
	if l.book != nil {
		l.book.SetLimit(limit)
		l.book.SetShare(live, total)
	}
}

func (l *Loads) takeOver(now monotime.Instant) {
	l.book = NewIssuer(l.limit, l.lease)
	l.holders = make(map[string][]string)
	l.learnUntil = now.Add(l.lease)
	for id, e := range l.entries {
		if e.holds(now) {
			l.book.Hold(now, id)
		}
	}
}

func (e *load) holds(now monotime.Instant) bool {
	return e.loading || now.Before(e.allowedUntil)
}

// Ask implements Permit.
func (l *Loads) Ask(now monotime.Instant, key string) bool {
	e := l.entry(now, key)
	if l.book != nil {
		if now.Before(l.learnUntil) || !l.book.Ask(now, key) {
			return e.holds(now)
		}
		e.allowedUntil = now.Add(l.lease)
	}
	return e.holds(now)
}

// Hold implements Permit.
func (l *Loads) Hold(now monotime.Instant, key string) {
	e := l.entry(now, key)
	if !e.loading {
		e.loading = true
		l.changed = true
	}
	if l.book != nil {
		l.book.Hold(now, key)
	}
}

// Done implements Permit.
func (l *Loads) Done(now monotime.Instant, key string) {
	if l.entries[key] == nil {
		return
	}
	delete(l.entries, key)
	l.changed = true
	if l.book != nil {
		l.book.Done(now, key)
	}
}

func (l *Loads) entry(now monotime.Instant, key string) *load {
	e := l.entries[key]
	if e == nil {
		e = &load{}
		l.entries[key] = e
		l.changed = true
	}
	e.usedAt = now
	return e
}

// Tick returns the message that is due to the issuer, if any.
func (l *Loads) Tick(now monotime.Instant) (issuer string, ask *wire.LoadAsk) {
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
	return l.issuer, l.message(now)
}

func (l *Loads) askDue(now monotime.Instant) bool {
	since := now.Sub(l.askedAt)
	switch {
	case l.changed:
		return since >= askGap
	case len(l.entries) == 0:
		return false
	case l.waiting(now):
		return since >= wantEvery
	default:
		return since >= l.lease/renewalsPerLease
	}
}

func (l *Loads) waiting(now monotime.Instant) bool {
	for _, e := range l.entries {
		if !e.holds(now) {
			return true
		}
	}
	return false
}

func (l *Loads) message(now monotime.Instant) *wire.LoadAsk {
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
func (l *Loads) OnAsk(now monotime.Instant, from string, ask *wire.LoadAsk) *wire.LoadGive {
	if l.book == nil {
		return nil
	}
	give := &wire.LoadGive{Seq: ask.Seq, LeaseMS: int(l.lease / time.Millisecond)}
	l.endDropped(now, from, ask)
	for _, id := range ask.Holds {
		l.book.Hold(now, id)
		give.Engines = append(give.Engines, id)
	}
	for _, id := range ask.Wants {
		if !now.Before(l.learnUntil) && l.book.Ask(now, id) {
			give.Engines = append(give.Engines, id)
		}
	}
	l.holders[from] = give.Engines
	if len(give.Engines) == 0 {
		delete(l.holders, from)
	}
	return give
}

// endDropped takes back the permits that the holder named before and not now.
func (l *Loads) endDropped(now monotime.Instant, from string, ask *wire.LoadAsk) {
	for _, id := range l.holders[from] {
		if !slices.Contains(ask.Holds, id) && !slices.Contains(ask.Wants, id) {
			l.book.Done(now, id)
		}
	}
}

// OnGive takes the issuer's answer. The lease runs from the sending of the
// question, which is before the issuer's own began; an answer to an older
// question says nothing any more.
func (l *Loads) OnGive(now monotime.Instant, from string, give *wire.LoadGive) {
	until := l.askedAt.Add(time.Duration(give.LeaseMS) * time.Millisecond)
	if from != l.issuer || give.Seq != l.seq || !now.Before(until) {
		return
	}
	for _, id := range give.Engines {
		if e := l.entries[id]; e != nil {
			e.allowedUntil = until
		}
	}
}

// LoadStats is the state of an instance's permits.
type LoadStats struct {
	// Issuer of permits.
	Issuer string `json:"issuer"`
	// Holding and Waiting engines of this instance.
	Holding int `json:"holding"`
	Waiting int `json:"waiting"`
	// Given permits, when this instance is the issuer.
	Given int `json:"given"`
}

// Stats returns the state.
func (l *Loads) Stats(now monotime.Instant) LoadStats {
	stats := LoadStats{Issuer: l.issuer}
	for _, e := range l.entries {
		if e.holds(now) {
			stats.Holding++
		} else {
			stats.Waiting++
		}
	}
	if l.book != nil {
		stats.Given = l.book.Held(now)
	}
	return stats
}
