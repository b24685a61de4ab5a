package placement

import (
	"time"

	"basilrudder/internal/monotime"
)

// server is the model of one incarnation.
type server struct {
	id         string
	dataCentre string
	slots      int
	memory     int
	// eventTokens is the number of tokens in an event, each made by a step.
	eventTokens int
	tokenBytes  int
	linkMbps    float64
	runs        map[RunID]*run
	streamCounts
	// inUse is the memory that running requests hold, in tokens; parts that
	// several of them share count once, as holders says.
	inUse       int
	partHolders map[string]int
	cache       partCache
	// cacheReported says that it was told what the engine keeps.
	cacheReported bool
	queue         queue
	failures      float64
	// kind of engines it is one of; done is what it did up to ticked; begun counts the
	// requests that began on it.
	kind       *engineKind
	done       progress
	advancedAt monotime.Instant
	begun      int
	// slow is the ratio of the time that samples took here to what the model
	// expected, as of slowAt, or 0 when there was none.
	slow   float64
	slowAt monotime.Instant
	// lastEventAt is when it last gave an event that is known of.
	lastEventAt monotime.Instant
	// hazards are how often pauses are longer than each bound in use, and punctual
	// the streams that are likely not to have paused too long.
	hazards map[time.Duration]*hazard
	onTime  map[streamKind]*onTimeStreams
	// recentReading is the reading done lately, as of readAt; urgency what each second
	// of reading costs the streams, as of urgencyAt.
	recentReading float64
	readAt        monotime.Instant
	delayCost     delayCost
	delayCostAt   monotime.Instant
	retryAt       monotime.Instant
	fullUntil     monotime.Instant
	// arrivals is the rate of requests sent there by all instances, as heard.
	arrivals rate
	backoff  time.Duration
}
