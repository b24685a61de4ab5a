package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

const (
	// shareInterval is the interval of the samples of a long stream for the other
	// instances. The first sample covers firstShareInterval only if the estimate of the
	// server has a standard deviation above uncertainSpread: after a start of all
	// instances, streams with short pauses go to slow servers until samples arrive.
	shareInterval      = 2 * time.Second
	firstShareInterval = 200 * time.Millisecond
	uncertainSpread    = 0.2
	// minShared is the minimum time that such a sample covers. A shorter one says little
	// for the bytes that it takes.
	minShared = 50 * time.Millisecond
	// centreMaxAge is how long the centre and the spread of the servers of a service are
	// reused, and centrePerServer the least time for each server: computing them goes
	// through all servers.
	centreMaxAge    = 200 * time.Millisecond
	centrePerServer = 200 * time.Microsecond
	// Up to a spread of alikeSpread between the servers of a service, estimates are taken
	// for the noise of equal servers unless they exceed slownessDeadband. From
	// differentSpread on all count. Among equal servers, requests would otherwise leave
	// those that cache their prompt for ones that are no faster.
	alikeSpread, differentSpread = 0.15, 0.25
)

// shared reports whether the instances exchange samples of the pace of each server.
func (k *engineKind) shared(now monotime.Instant) bool {
	return k.board.enabled(k.board.features.SharedServerPaces, now)
}

// estimated returns the logarithm of the slowness of a server from the samples of all
// instances, relative to the median of its service, and its standard deviation.
func (s *server) estimated(now monotime.Instant) (logSlowness, spread float64) {
	mean, variance := s.kind.servers.Predict(&s.estimate, now)
	return mean, math.Sqrt(variance)
}

// alike returns how far the servers count as equally fast, from 0 to 1.
func (k *engineKind) alike() float64 {
	return min(max(0, (differentSpread-k.servers.Spread())/(differentSpread-alikeSpread)), 1)
}

// lasted returns the time from the start of an interval to its last event.
func (w *interval) lasted() time.Duration { return w.to.Sub(w.from) }

// shareInterval returns the time that the next sample of a stream covers.
func (r *run) shareInterval(now monotime.Instant) time.Duration {
	if !r.watch.shared && r.server.paceSpread(now) > uncertainSpread {
		return firstShareInterval
	}
	return shareInterval
}

// shareSample ends the unshared interval of a run of this instance and returns its
// sample, which is applied here as the other instances do.
func (b *Board) shareSample(r *run, now monotime.Instant) (sample pace.ServerSample, ok bool) {
	w := r.watch.unshared
	if w.from == 0 || w.events < minIntervalEvents || w.lasted() < minShared {
		return pace.ServerSample{}, false
	}
	r.watch.unshared, r.watch.shared = r.server.newInterval(now), true
	expected := r.server.kind.model.Expected(w.sample(r.server))
	if expected <= 0 {
		return pace.ServerSample{}, false
	}
	ratio := float64(w.lasted()) / float64(expected)
	sample = pace.ServerSample{LogRatio: math.Log(min(max(ratio, 1/maxSlowSample), maxSlowSample)), Covered: w.lasted()}
	b.recordSample(r.server, sample, now)
	return sample, true
}

// RecordPace applies a sample of a run of another instance. It reports whether the run is
// known.
func (b *Board) RecordPace(id RunID, sample pace.ServerSample, now monotime.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.runs[id]
	if r == nil {
		return false
	}
	if r.server.kind.shared(now) {
		b.recordSample(r.server, sample, now)
	}
	return true
}

// recordSample applies a sample of a stream on a server.
func (b *Board) recordSample(s *server, sample pace.ServerSample, now monotime.Instant) {
	s.kind.servers.Observe(&s.estimate, sample, now)
	b.updateCentre(s.kind, now)
}

// updateCentre recomputes what the estimates of the servers of a service share, when it is
// old.
func (b *Board) updateCentre(kind *engineKind, now monotime.Instant) {
	maxAge := max(centreMaxAge, time.Duration(len(b.servers))*centrePerServer)
	if kind.serversAt != 0 && now.Sub(kind.serversAt) < maxAge {
		return
	}
	kind.serversAt = now
	var known []*pace.ServerEstimate
	for _, s := range b.servers {
		if s.kind == kind && s.estimate.Known() {
			known = append(known, &s.estimate)
		}
	}
	kind.servers.Update(known, now)
}

// ServerPace is the estimated pace of a server.
type ServerPace struct {
	Server, Service string
	// Slowness is the ratio of its times to the median of its service, and Spread the
	// standard deviation of the logarithm of that.
	Slowness, Spread float64
}

// knownPaces calls do with each server of which samples were taken, while the instances
// exchange them.
func (b *Board) knownPaces(now monotime.Instant, do func(s *server)) {
	if !b.enabled(b.features.SharedServerPaces, now) {
		return
	}
	for _, s := range b.servers {
		if s.estimate.Known() {
			do(s)
		}
	}
}

// serverPace returns the estimate of a server. It is not reduced by the deadband, which
// would reduce it once more at an instance that it is sent to.
func (s *server) serverPace(now monotime.Instant) ServerPace {
	logSlowness, spread := s.estimated(now)
	return ServerPace{Server: s.id, Service: s.kind.service, Slowness: math.Exp(logSlowness), Spread: spread}
}

// ServerPaces returns the estimates of all servers of which samples were taken; none while
// the instances do not exchange them.
func (b *Board) ServerPaces(now monotime.Instant) (out []ServerPace) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.knownPaces(now, func(s *server) { out = append(out, s.serverPace(now)) })
	return out
}

// SetServerPace applies another instance's estimate of a server: the logarithm of its
// slowness and the standard deviation of that. The more certain estimate is kept. The
// centre of the service is left as it is: recomputed after the first of the estimates that
// are handed over, it would be that of one server.
func (b *Board) SetServerPace(serverID string, logSlowness, spread float64, now monotime.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(Candidate{ID: serverID})
	s.kind.servers.Adopt(&s.estimate, logSlowness, spread, now)
}

// minLoggedChange is the factor by which the slowness of a server must differ from the
// one last logged. With 1.2, the noise of the estimates alone wrote 15 lines a second.
const minLoggedChange = 1.5

// ChangedServerPaces returns the estimates that have changed by minLoggedChange since they
// were last returned, the ones that have changed most first, and at most limit.
func (b *Board) ChangedServerPaces(limit int, now monotime.Instant) (out []ServerPace) {
	b.mu.Lock()
	defer b.mu.Unlock()
	type change struct {
		ServerPace
		by float64
	}
	var changes []change
	b.knownPaces(now, func(s *server) {
		logSlowness, _ := s.estimated(now)
		if by := math.Abs(logSlowness - s.loggedLogSlowness); by > math.Log(minLoggedChange) {
			changes = append(changes, change{s.serverPace(now), by})
		}
	})
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(b.by, a.by), cmp.Compare(a.Server, b.Server))
	})
	for _, c := range changes[:min(limit, len(changes))] {
		b.servers[c.Server].loggedLogSlowness = math.Log(c.Slowness)
		out = append(out, c.ServerPace)
	}
	return out
}

// ServerPaceSummary sums up the estimates of the servers of a service.
type ServerPaceSummary struct {
	// Known is the number of servers of which samples were taken.
	Known int
	// Slowest is the highest slowness.
	Slowest float64
	// Median is the median ratio of the times of servers to the model of the service, and
	// Spread the standard deviation of its logarithm between servers.
	Median, Spread float64
}

// ServerPaceSummaries returns the summary of each service of which samples were taken.
func (b *Board) ServerPaceSummaries(now monotime.Instant) map[string]ServerPaceSummary {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]ServerPaceSummary)
	b.knownPaces(now, func(s *server) {
		sum := out[s.kind.service]
		sum.Known++
		sum.Slowest = max(sum.Slowest, s.serverPace(now).Slowness)
		sum.Median, sum.Spread = math.Exp(s.kind.servers.Centre()), s.kind.servers.Spread()
		out[s.kind.service] = sum
	})
	return out
}
