package gateway

import (
	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// brittleness returns what a server says of refusals.
func (f *fleet) brittleness(id string) servers.Brittleness {
	if f.brittleCount.Load() == 0 {
		return servers.Brittleness{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.Brittleness(id)
}

// checkFall reports to all peers how many requests of this instance a brittle server refused
// before it ended, and concludes that it fell if the reports received so far explain that.
func (f *fleet) checkFall(server string, endedAt, now monotime.Instant) {
	said := f.brittleness(server)
	if !said.Brittle {
		return
	}
	f.crashes.mu.Lock()
	own := f.crashes.falls.Before(server, endedAt)
	isNew, explained := f.crashes.falls.Report(server, f.self, own, said.MaxRefusals, endedAt, now)
	f.crashes.mu.Unlock()
	if isNew {
		f.updates.addFalls([]wire.RelayFall{{Server: server, Refusals: own, AgeMS: ageMS(endedAt, now)}})
	}
	if explained && f.concludeFall(f.self, server, endedAt) {
		f.updates.addFalls([]wire.RelayFall{{Server: server, AgeMS: ageMS(endedAt, now)}})
	}
}

// recordRefusal records that a brittle server refused a request of this instance.
func (c *crashTracker) recordRefusal(server string, now monotime.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.falls.Refused(server, now)
}

// concludeFall records that the end of a server is not attributed to requests that it ran.
// It reports whether that is new.
func (f *fleet) concludeFall(from, server string, endedAt monotime.Instant) bool {
	c := f.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.tracker.Fell(server, endedAt) {
		return false
	}
	c.update(monotime.Now())
	f.log.Info("brittle_server_fell", zap.String("server", server), zap.String("from", from))
	return true
}

// applyFalls applies what a peer reported of ends of brittle servers. If it was sent to this
// instance only, new conclusions are passed on, as in applyCrashes.
func (p *peers) applyFalls(from string, falls []wire.RelayFall, direct bool) {
	now := monotime.Now()
	f := p.fleet
	for _, fall := range falls {
		endedAt, ok := decodeEnd(fall.AgeMS, now)
		if !ok || fall.Refusals < 0 || fall.Server == "" {
			f.log.Warn("fall_unreadable", zap.String("from", from), zap.Int("age_ms", fall.AgeMS))
			continue
		}
		if fall.Refusals > 0 {
			f.applyRefusals(from, &fall, endedAt, now)
			continue
		}
		if f.concludeFall(from, fall.Server, endedAt) && direct {
			f.updates.addFalls([]wire.RelayFall{fall})
		}
	}
}

// applyRefusals applies a peer's count of refusals. All instances receive it, so a
// conclusion from it is not sent.
func (f *fleet) applyRefusals(from string, fall *wire.RelayFall, endedAt, now monotime.Instant) {
	said := f.brittleness(fall.Server)
	if !said.Brittle {
		return
	}
	f.crashes.mu.Lock()
	_, explained := f.crashes.falls.Report(fall.Server, from, fall.Refusals, said.MaxRefusals, endedAt, now)
	f.crashes.mu.Unlock()
	if explained {
		f.concludeFall(from, fall.Server, endedAt)
	}
}

// encodeFalls returns all ends that are not attributed to requests, for a peer that may have
// missed some.
func (c *crashTracker) encodeFalls(now monotime.Instant) (out []wire.RelayFall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, endedAt := range c.tracker.Fallen() {
		out = append(out, wire.RelayFall{Server: server, AgeMS: ageMS(endedAt, now)})
	}
	return out
}
