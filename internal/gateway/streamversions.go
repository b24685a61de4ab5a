package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/relay"
	"basilrudder/internal/routing"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/streams"
)

const (
	// versionSettling is how long a new software version is left out where a stream begins
	// that may be resumed elsewhere, if other servers take it. Instances of former releases
	// conclude from views of 3 s that a service has one version only.
	versionSettling = 4 * time.Second
	// maxVersionAge bounds the ages of versions that peers tell; older ones are as settled.
	maxVersionAge = time.Hour
	// lifetimePerTimeout is how long a stream may be resumed after it began, as a multiple
	// of its route's timeout. Callers wait for about that timeout over all their tries, and
	// some of them for one that was longer before a change of the configuration.
	lifetimePerTimeout = 1.5
)

// streamVersions knows which software version began each stream of the fleet that may be
// resumed. Each instance tells all others of the streams that it begins; one that does not
// know a stream asks some of them.
type streamVersions struct {
	table   *streams.Table
	history *streams.History
	// ask asks peers for a stream.
	ask func(key streams.Key, service string)
	// confirm reports whether this instance has all versions that the store listed at an
	// instant.
	confirm func(ctx context.Context, at monotime.Instant) bool
	// lifetimes are how long streams of each service may be resumed, by its routes; guarded
	// by mu.
	lifetimes map[string]time.Duration
	// asked and unknown count the streams that peers were asked for, and those that stayed
	// unknown.
	asked, unknown atomic.Int64
	// concluding is the number of peers' queries that wait for a confirmation.
	concluding atomic.Int64

	mu      sync.Mutex
	waiting map[streams.Key]*streamQuery
}

func newStreamVersions() *streamVersions {
	return &streamVersions{
		table: streams.NewTable(), history: streams.NewHistory(), waiting: make(map[streams.Key]*streamQuery),
		ask: func(streams.Key, string) {}, lifetimes: make(map[string]time.Duration),
		confirm: func(context.Context, monotime.Instant) bool { return false },
	}
}

// setRoutes applies the routes of a configuration. A lifetime never becomes shorter: streams
// that began before may still be resumed.
func (s *streamVersions) setRoutes(routes []routing.Route) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range routes {
		if !routes[i].Resumable {
			continue
		}
		lifetime := time.Duration(lifetimePerTimeout * float64(routes[i].Timeout))
		s.table.Keep(lifetime)
		for _, share := range routes[i].Shares {
			s.lifetimes[share.Service] = max(s.lifetimes[share.Service], lifetime)
		}
	}
}

// only returns the only version that a stream of a service can have begun at.
func (s *streamVersions) only(service string, now monotime.Instant) (version string, lasted time.Duration, ok bool) {
	s.mu.Lock()
	lifetime := s.lifetimes[service]
	s.mu.Unlock()
	if lifetime == 0 {
		return "", 0, false
	}
	return s.history.Only(service, lifetime, now)
}

// apply records the streams of an update.
func (s *streamVersions) apply(from string, update *wire.RelayNews, now monotime.Instant) {
	for _, told := range update.Streams {
		for _, key := range told.Keys {
			s.table.Put(streams.Key(key), told.Software, from, now)
			s.wake(streams.Key(key))
		}
	}
}

// streamMetrics is what is known of streams that may be resumed, in the metrics.
type streamMetrics struct {
	Known   int   `json:"known"`
	Asked   int64 `json:"asked"`
	Unknown int64 `json:"unknown"`
}

func (s *streamVersions) metrics() streamMetrics {
	return streamMetrics{Known: s.table.Len(), Asked: s.asked.Load(), Unknown: s.unknown.Load()}
}

// versionAges returns the ages of the versions of all services, as sent to peers.
func (s *streamVersions) versionAges(now monotime.Instant) (out []wire.RelayVersion) {
	for _, a := range s.history.Ages(now) {
		out = append(out, wire.RelayVersion{Service: a.Service, Software: a.Version, AgeMS: int(a.Age.Milliseconds())})
	}
	return out
}

// learn applies the ages of versions that a peer sent.
func (s *streamVersions) learn(versions []wire.RelayVersion, now monotime.Instant) {
	for _, v := range versions {
		age := min(max(0, milliseconds(v.AgeMS)), maxVersionAge)
		s.history.Learn(streams.VersionAge{Service: v.Service, Version: v.Software, Age: age}, now)
	}
}

// unsettledVersions returns the versions at which a stream should not begin yet.
func (f *fleet) unsettledVersions(list *serverList, service string, work *placement.Work, now monotime.Instant) map[string]bool {
	if !work.Resumable || work.Software.Bound || list.bySoftware == nil {
		return nil
	}
	return f.streams.history.New(service, versionSettling, now)
}

// StreamBegan implements relay.Fleet.
func (f *fleet) StreamBegan(service, try, version string, now monotime.Instant) {
	key := streams.KeyOf(service, try)
	f.streams.table.Put(key, version, f.self, now)
	f.updates.addStream(int(key), version)
}

// StreamOrigin implements relay.Fleet.
func (f *fleet) StreamOrigin(ctx context.Context, service, try string) relay.StreamOrigin {
	key := streams.KeyOf(service, try)
	if try == "" {
		// The stream has no name; what is said of it holds for this request only.
		key = streams.Key(rand.Int64())
	}
	if origin := f.toldStream(key, monotime.Now()); origin.Known {
		return origin
	}
	if origin := f.onlyVersion(ctx, service, monotime.Now()); origin.Known {
		return origin
	}
	f.streams.query(ctx, key, service)
	origin := f.toldStream(key, monotime.Now())
	if !origin.Known {
		f.streams.unknown.Add(1)
	}
	return origin
}

// toldStream returns what this instance was told of a stream.
func (f *fleet) toldStream(key streams.Key, now monotime.Instant) relay.StreamOrigin {
	if r, ok := f.streams.table.Get(key, now); ok {
		return relay.StreamOrigin{Known: true, Version: r.Version, From: r.From, Age: now.Sub(r.At)}
	}
	return relay.StreamOrigin{Age: f.sinceServersConfirmed(now)}
}

// onlyVersion returns the version of any stream of a service that began before an instant, if
// it has had one version only. A process can't tell how old its view is, since it may have
// stood still or have been cut off: the store has to confirm the view after that instant.
func (f *fleet) onlyVersion(ctx context.Context, service string, before monotime.Instant) relay.StreamOrigin {
	unknown := relay.StreamOrigin{Age: f.sinceServersConfirmed(before)}
	if _, _, ok := f.streams.only(service, before); !ok || !f.streams.confirm(ctx, before) {
		return unknown
	}
	version, lasted, ok := f.streams.only(service, monotime.Now())
	if !ok {
		return unknown
	}
	return relay.StreamOrigin{Known: true, Version: version, From: relay.OnlyVersion, Age: lasted}
}

func (f *fleet) sinceServersConfirmed(now monotime.Instant) time.Duration {
	return now.Sub(f.serversConfirmedAt(now))
}
