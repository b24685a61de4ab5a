package gateway

import (
	"math"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// Heard implements relay.Fleet. A server's notice about itself counts as much as its
// entry in the store, and applies to the whole fleet, so it is sent to the peers.
func (f *fleet) ApplyNotice(server string, notice servers.Notice, sent, now monotime.Instant) {
	if notice.Pause > 0 {
		f.pauseServer(server, notice.Pause, now)
	}
	if !notice.Leaving && !notice.Limited && f.limitedCount.Load() == 0 {
		return
	}
	f.changeServers(fromServer, func(r *servers.Registry, _ monotime.Instant) []string {
		if r.ApplyNotice(server, notice, sent, now) == servers.Unchanged {
			return nil
		}
		return []string{server}
	})
}

// pauseServer sends a server nothing from this instance for a while. The server asks that
// of this instance only, so peers are not informed.
func (f *fleet) pauseServer(server string, lasts time.Duration, now monotime.Instant) {
	if !f.hasServer(server) {
		return
	}
	f.throttle.Pause(server, now.Add(lasts))
	f.log.Info("server_paused", zap.String("server", server), zap.Duration("for_ms", lasts))
}

// limitedServers returns the ids of the servers that advertise a limit.
func (f *fleet) limitedServers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.Limited()
}

func encodeLimit(state *wire.RelayServer, b servers.RateLimit, now monotime.Instant) {
	if b.At == 0 {
		return
	}
	state.Limited, state.Rate = b.Limited, b.Rate
	state.LimitAge = 1 + int(max(0, now.Sub(b.At)).Milliseconds())
}

// maxLimitAge bounds the age of a limit that a peer sent: a damaged age could overflow.
const maxLimitAge = time.Hour

// decodeLimit decodes a limit that a peer sent. A damaged value yields no limit: neither
// a rate that cannot be applied, nor a limit that would count as newer than later ones.
func decodeLimit(state *wire.RelayServer, now monotime.Instant) servers.RateLimit {
	rateValid := state.Rate >= 0 && !math.IsInf(state.Rate, 1)
	if state.LimitAge <= 0 || !rateValid {
		return servers.RateLimit{}
	}
	age := maxLimitAge
	if state.LimitAge <= int(maxLimitAge.Milliseconds()) {
		age = milliseconds(state.LimitAge - 1)
	}
	return servers.RateLimit{Limited: state.Limited, Rate: state.Rate, At: now.Add(-age)}
}
