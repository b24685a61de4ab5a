package gateway

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
)

const (
	// preferredLogInterval is the minimum time between lines about choices that a connection
	// has decided.
	preferredLogInterval = time.Second
	// minShareToKeepIdle is this instance's share of a server's connections from which on it
	// keeps an idle one for longer than usual. Idle connections of all instances then take
	// at most a quarter of those that the server accepts.
	minShareToKeepIdle = 4
)

// connectionPreference counts and logs choices that were decided by an open connection.
type connectionPreference struct {
	moved    atomic.Int64
	loggedAt atomic.Int64 // monotime.Instant of the last line; 0 for none
	// enabled is what the last line about it said. Used by the periodic task only.
	enabled bool
}

// recordChoice counts a choice if another server would have been chosen without regard to
// connections.
func (p *connectionPreference) recordChoice(log *zap.Logger, service string, choice *placement.Choice, now monotime.Instant) {
	if choice.InsteadOf == "" {
		return
	}
	moved := p.moved.Add(1)
	last := p.loggedAt.Load()
	if last != 0 && now.Sub(monotime.Instant(last)) < preferredLogInterval || !p.loggedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	log.Info("open_connection_used", zap.String("service", service), zap.String("server", choice.Server),
		zap.String("instead_of", choice.InsteadOf), zap.Int64("moved", moved))
}

// logEnabled logs when the preference for open connections begins or ceases to apply.
func (p *connectionPreference) logEnabled(log *zap.Logger, enabled bool, instances int) {
	if enabled == p.enabled {
		return
	}
	p.enabled = enabled
	log.Info("open_connections_preferred", zap.Bool("enabled", enabled), zap.Int("instances", instances))
}

// keepsIdle reports whether an idle connection to a server that accepts maxConns is kept for
// as long as the server announces.
func (f *fleet) keepsIdle(maxConns int, now monotime.Instant) bool {
	return f.board.PrefersOpenConnections(now) &&
		(maxConns <= 0 || maxConns/max(1, f.memberCount()) >= minShareToKeepIdle)
}
