package placement

import (
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

// server is the model of one incarnation. Most of a large fleet's servers run nothing, and
// an emptied map keeps its memory, so maps are nil while they are empty; see put and drop.
type server struct {
	id         string
	dataCentre string
	// preference is that of this instance for the server, see Board.preferenceFor; 0 until
	// it is first needed.
	preference float64
	slots      int
	memory     int
	// eventTokens is the number of tokens in an event, each made by a step.
	eventTokens int
	tokenBytes  int
	linkMbps    float64
	runs        map[RunID]*run
	streamCounts
	// inUse is the memory that running requests hold, in tokens. Parts shared by several
	// of them count once; partHolders is the number of requests that hold each part.
	inUse       int
	partHolders map[string]int
	cache       partCache
	// cacheReported is set when the cached parts of the engine have been reported.
	cacheReported bool
	queue         queue
	failures      float64
	// kind tracks all engines of the service, done is the work of this one up to
	// advancedAt, and begun the number of requests that began on it.
	kind       *engineKind
	done       progress
	advancedAt monotime.Instant
	begun      int
	// slow is the averaged ratio of the time of samples to what the model expected, as of
	// slowAt, which is 0 when there were none.
	slow   float64
	slowAt monotime.Instant
	// estimate is that of its slowness from the samples of all instances.
	estimate pace.ServerEstimate
	// loggedLogSlowness is the logarithm of the slowness last logged.
	loggedLogSlowness float64
	// lastEventAt is when its last reported event was.
	lastEventAt monotime.Instant
	// hazards are the rates of pauses longer than each limit in use, and onTime the
	// streams that have probably not paused too long yet.
	hazards map[time.Duration]*hazard
	onTime  map[streamKind]*onTimeStreams
	// watched are the runs of this instance whose pauses are compared with predictions, in
	// no order.
	watched []*run
	// recentReading is the decaying sum of the time spent reading, as of readAt;
	// delayCost is what each second of delay costs the requests on it, as of delayCostAt.
	recentReading float64
	readAt        monotime.Instant
	delayCost     delayCost
	delayCostAt   monotime.Instant
	retryAt       monotime.Instant
	fullUntil     monotime.Instant
	// arrivals is the rate of requests sent to it by all instances, as far as reported.
	arrivals rate
	backoff  time.Duration
	// idHash and slowClass give its place in the ranking of the engines of its service,
	// listedAt is when it was last listed for that, and forShort how far it is intended
	// for streams with short pauses, from 0 to 1; see engineSplit.
	idHash    uint64
	slowClass int
	listedAt  monotime.Instant
	forShort  float64
	// orphans are until when the server may go on with requests whose instances are gone,
	// in no order.
	orphans []monotime.Instant
}

// put sets an entry of a map that may be nil.
func put[K comparable, V any](m *map[K]V, key K, value V) {
	if *m == nil {
		*m = make(map[K]V)
	}
	(*m)[key] = value
}

// drop deletes an entry of a map, and the map with the last one.
func drop[K comparable, V any](m *map[K]V, key K) {
	if delete(*m, key); len(*m) == 0 {
		*m = nil
	}
}
