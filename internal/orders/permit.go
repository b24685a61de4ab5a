package orders

import (
	"time"

	"basilrudder/internal/monotime"
)

// LoadLimiter limits the loads from the weight store over the fleet. A key names
// the engine that loads.
type LoadLimiter interface {
	// TryAcquire reports whether the load may start. Asking again renews a permit that
	// was given.
	TryAcquire(now monotime.Instant, key string) bool
	// Hold records a load that goes on already, whoever allowed it.
	Hold(now monotime.Instant, key string)
	// Release gives a permit back.
	Release(now monotime.Instant, key string)
}

// Issuer gives permits out. One member of the fleet, or of each part of a
// partitioned one, is the issuer; it keeps no state but what its holders renew.
type Issuer struct {
	limit       int
	live, total int
	lease       time.Duration
	held        map[string]heldPermit
	// pauseUntil is when a share below one load allows the next.
	pauseUntil monotime.Instant
}

type heldPermit struct {
	since, until monotime.Instant
}

// NewIssuer returns an issuer of limit permits, each of which lapses when it
// was not renewed for the lease.
func NewIssuer(limit int, lease time.Duration) *Issuer {
	return &Issuer{limit: limit, live: 1, total: 1, lease: lease, held: make(map[string]heldPermit)}
}

// SetLimit changes the number of permits over the fleet.
func (i *Issuer) SetLimit(limit int) {
	i.limit = limit
}

// SetShare says that live of total instances are in this part of the fleet. In
// a partition each part has its own issuer and reaches the same weight store,
// so that each may use only its share of the limit.
func (i *Issuer) SetShare(live, total int) {
	i.live = max(live, 1)
	i.total = max(total, i.live)
}

// TryAcquire implements Permit.
func (i *Issuer) TryAcquire(now monotime.Instant, key string) bool {
	i.expire(now)
	if _, ok := i.held[key]; !ok && !i.hasFree(now) {
		return false
	}
	i.Hold(now, key)
	return true
}

func (i *Issuer) hasFree(now monotime.Instant) bool {
	whole := i.limit * i.live / i.total
	if whole > 0 {
		return len(i.held) < whole
	}
	return i.limit > 0 && len(i.held) == 0 && i.pauseUntil <= now
}

// Hold implements Permit.
func (i *Issuer) Hold(now monotime.Instant, key string) {
	h, ok := i.held[key]
	if !ok {
		h.since = now
	}
	h.until = now.Add(i.lease)
	i.held[key] = h
}

// Release implements Permit.
func (i *Issuer) Release(now monotime.Instant, key string) {
	if h, ok := i.held[key]; ok {
		i.remove(now, key, h)
	}
}

// remove removes a permit. A part whose share is below one load rests after each
// for as long as the share asks, so that it uses its share on average; it can't
// use it at every instant without loading nothing at all.
func (i *Issuer) remove(now monotime.Instant, key string, h heldPermit) {
	delete(i.held, key)
	share := float64(i.limit) * float64(i.live) / float64(i.total)
	if share < 1 && share > 0 {
		pause := float64(now.Sub(h.since)) * (1 - share) / share
		i.pauseUntil = max(i.pauseUntil, now.Add(time.Duration(pause)))
	}
}

// expire takes back the permits of holders that died.
func (i *Issuer) expire(now monotime.Instant) {
	for key, h := range i.held {
		if h.until <= now {
			i.remove(now, key, h)
		}
	}
}

// Held returns the number of permits in use.
func (i *Issuer) Held(now monotime.Instant) int {
	i.expire(now)
	return len(i.held)
}
