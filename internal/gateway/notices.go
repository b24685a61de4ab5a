package gateway

import (
	"math"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// Heard implements relay.Fleet. What a server says of itself counts as much as its entry
// in the store, and for the whole fleet: it is told to the peers.
func (f *fleet) Heard(server string, notice servers.Notice, sent, now monotime.Instant) {
	if notice.Pause > 0 {
		f.pause(server, notice.Pause, now)
	}
	if !notice.Leaving && !notice.Limited && f.limited.Load() == 0 {
		return
	}
	f.update(fromServer, func(r *servers.Registry, _ monotime.Instant) []string {
		if r.ApplyNotice(server, notice, sent, now) == servers.Unchanged {
			return nil
		}
		return []string{server}
	})
}

// pause has a server get nothing from this instance for a while. It is asked of this
// instance alone, so peers are not told.
func (f *fleet) pause(server string, lasts time.Duration, now monotime.Instant) {
	if !f.known(server) {
		return
	}
	f.throttle.Pause(server, now.Add(lasts))
	f.log.Info("server_paused", zap.String("server", server), zap.Duration("for_ms", lasts))
}

// limitedServers returns the ids of the servers that name a limit.
func (f *fleet) limitedServers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.Limited()
}

func encodeBound(state *wire.RelayServer, b servers.RateLimit, now monotime.Instant) {
	if b.At == 0 {
		return
	}
	state.Limited, state.Rate = b.Limited, b.Rate
	state.LimitAge = 1 + int(max(0, now.Sub(b.At)).Milliseconds())
}

// boundAgeMost bounds the age of what a peer says of a limit.
const boundAgeMost = time.Hour

// decodeBound reads what a peer says of a limit. Damaged values say nothing: no rate that
// can't be kept, and no word that would count as newer than those to come.
func decodeBound(state *wire.RelayServer, now monotime.Instant) servers.RateLimit {
	rateValid := state.Rate >= 0 && !math.IsInf(state.Rate, 1)
	if state.LimitAge <= 0 || !rateValid {
		return servers.RateLimit{}
	}
	age := boundAgeMost
	if state.LimitAge <= int(boundAgeMost.Milliseconds()) {
		age = milliseconds(state.LimitAge - 1)
	}
	return servers.RateLimit{Limited: state.Limited, Rate: state.Rate, At: now.Add(-age)}
}
