package gateway

import (
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// ApplyNotice implements relay.Fleet. A server's notice about itself counts as much as
// its entry in the store, and applies to the whole fleet, so it is sent to the peers.
func (f *fleet) ApplyNotice(server string, notice servers.Notice, sent, now monotime.Instant) {
	if notice.Pause > 0 {
		f.pauseServer(server, notice.Pause, now)
	}
	if notice.Brittle && notice.Refused {
		f.crashes.recordRefusal(server, now)
		f.logBrittleRefusal(server, notice.MaxRefusals, sent, now)
	}
	if !notice.Leaving && !notice.Limited && !notice.Brittle && f.rateLimitedCount.Load() == 0 && f.brittleCount.Load() == 0 {
		return
	}
	f.changeServers(fromServer, func(r *servers.Registry, _ monotime.Instant) []string {
		if r.ApplyNotice(server, notice, sent, now) == servers.Unchanged {
			return nil
		}
		return []string{server}
	})
}

// logBrittleRefusal logs what this instance knew of a brittle server that had no room.
func (f *fleet) logBrittleRefusal(server string, maxRefusals float64, sent, now monotime.Instant) {
	view := f.board.SlotsOf(server, f.self)
	place, instances, _ := f.serverPlace(server)
	f.log.Info("brittle_server_refused",
		zap.String("server", server), zap.Float64("refusals_per_s", maxRefusals), zap.Duration("took_ms", now.Sub(sent)),
		zap.Int("slots", view.Slots), zap.Int("runs", view.Runs), zap.Int("own_runs", view.Own),
		zap.Duration("report_delay_ms", view.ReportDelay), zap.Int("place", place), zap.Int("instances", instances))
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

// rateLimitedServers returns the ids of the servers that advertise a limit.
func (f *fleet) rateLimitedServers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.registry.RateLimited()
}

func encodeRateLimit(state *wire.RelayServer, b servers.RateLimit, now monotime.Instant) {
	if b.At == 0 {
		return
	}
	state.Limited, state.Rate = b.Limited, b.Rate
	state.LimitAge = encodeAge(b.At, now)
}

// maxLimitAge bounds the age of a limit that a peer sent: a damaged age could overflow.
const maxLimitAge = time.Hour

// decodeRateLimit decodes a limit that a peer sent. A damaged value yields no limit: neither
// a rate that cannot be applied, nor a limit that would count as newer than later ones.
func decodeRateLimit(state *wire.RelayServer, now monotime.Instant) servers.RateLimit {
	if state.LimitAge <= 0 || !servers.ValidRate(state.Rate) {
		return servers.RateLimit{}
	}
	return servers.RateLimit{Limited: state.Limited, Rate: state.Rate, At: now.Add(-decodeAge(state.LimitAge))}
}

// encodeAge encodes the time since at as milliseconds plus one, as 0 stands for no value.
func encodeAge(at, now monotime.Instant) int {
	return 1 + int(max(0, now.Sub(at)).Milliseconds())
}

// decodeAge decodes an age that a peer encoded.
func decodeAge(sent int) time.Duration {
	if sent > int(maxLimitAge.Milliseconds()) {
		return maxLimitAge
	}
	return milliseconds(sent - 1)
}

func encodeBrittleness(state *wire.RelayServer, b servers.Brittleness, now monotime.Instant) {
	if b.At == 0 {
		return
	}
	if b.Brittle {
		state.MaxRefusals = max(b.MaxRefusals, minMaxRefusals)
	}
	state.BrittleAge = encodeAge(b.At, now)
}

// minMaxRefusals stands for no refusals at all, as 0 stands for a server that says nothing
// of them.
const minMaxRefusals = 0.01

// decodeBrittleness decodes what a peer received of a server's refusals. A damaged value
// yields nothing, as in decodeRateLimit.
func decodeBrittleness(state *wire.RelayServer, now monotime.Instant) servers.Brittleness {
	if state.BrittleAge <= 0 || !servers.ValidRate(state.MaxRefusals) {
		return servers.Brittleness{}
	}
	at := now.Add(-decodeAge(state.BrittleAge))
	return servers.Brittleness{Brittle: state.MaxRefusals > 0, MaxRefusals: state.MaxRefusals, At: at}
}
