package orders

import (
	"time"

	"basilrudder/internal/monotime"
)

// LoadLimiter limits the concurrent loads from the weight store over the fleet by permits.
// The key of a permit names the engine that loads.
type LoadLimiter interface {
	// TryAcquire reports whether the load may start. It renews a permit that is held already.
	TryAcquire(now monotime.Instant, key string) bool
	// Hold records or renews the permit of a running load, whichever instance granted it.
	Hold(now monotime.Instant, key string)
	// Release returns a permit.
	Release(now monotime.Instant, key string)
}

// Issuer grants permits and implements LoadLimiter. One member of the fleet, or of each part
// of a partitioned fleet, is the issuer. It keeps no state besides what the holders renew.
type Issuer struct {
	limit       int
	live, total int
	lease       time.Duration
	held        map[string]heldPermit
	// pauseUntil is the earliest time of the next load if the share is below one load.
	pauseUntil monotime.Instant
}

type heldPermit struct {
	since, until monotime.Instant
}

// NewIssuer returns an issuer of limit permits. A permit expires when it was not renewed for
// the duration of the lease.
func NewIssuer(limit int, lease time.Duration) *Issuer {
	return &Issuer{limit: limit, live: 1, total: 1, lease: lease, held: make(map[string]heldPermit)}
}

// SetLimit sets the number of permits over the whole fleet.
func (i *Issuer) SetLimit(limit int) {
	i.limit = limit
}

// SetShare sets that live of total instances are in this part of the fleet. In a partition
// each part has its own issuer and all load from the same weight store, so each may use only
// its share of the limit.
func (i *Issuer) SetShare(live, total int) {
	i.live = max(live, 1)
	i.total = max(total, i.live)
}

// TryAcquire implements LoadLimiter.
func (i *Issuer) TryAcquire(now monotime.Instant, key string) bool {
	i.expire(now)
	if _, ok := i.held[key]; !ok && !i.hasFree(now) {
		return false
	}
	i.Hold(now, key)
	return true
}

// hasFree reports whether the share of this part of the fleet allows another load.
func (i *Issuer) hasFree(now monotime.Instant) bool {
	share := i.limit * i.live / i.total
	if share > 0 {
		return len(i.held) < share
	}
	return i.limit > 0 && len(i.held) == 0 && i.pauseUntil <= now
}

// Hold implements LoadLimiter.
func (i *Issuer) Hold(now monotime.Instant, key string) {
	h, ok := i.held[key]
	if !ok {
		h.since = now
	}
	h.until = now.Add(i.lease)
	i.held[key] = h
}

// Release implements LoadLimiter.
func (i *Issuer) Release(now monotime.Instant, key string) {
	if h, ok := i.held[key]; ok {
		i.remove(now, key, h)
	}
}

// remove removes a permit. If the share of this part is below one load, it then pauses so that
// it uses its share on average. It can't keep to the share at every instant without loading
// nothing at all.
func (i *Issuer) remove(now monotime.Instant, key string, h heldPermit) {
	delete(i.held, key)
	share := float64(i.limit) * float64(i.live) / float64(i.total)
	if share < 1 && share > 0 {
		pause := float64(now.Sub(h.since)) * (1 - share) / share
		i.pauseUntil = max(i.pauseUntil, now.Add(time.Duration(pause)))
	}
}

// expire removes the permits that were not renewed in time, as of failed holders.
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
