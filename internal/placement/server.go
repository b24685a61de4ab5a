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
	sums
	// inUse is the memory that running requests hold, in tokens; parts that
	// several of them share count once, as holders says.
	inUse   int
	holders map[string]int
	cache   partCache
	// learned says that it was told what the engine keeps.
	learned  bool
	queue    queue
	failures float64
	// kind of engines it is one of; done is what it did up to ticked; begun counts the
	// requests that began on it.
	kind   *engineKind
	done   progress
	ticked monotime.Instant
	begun  int
	// slow is the ratio of the time that samples took here to what the model
	// expected, as of slowAt, or 0 when there was none.
	slow   float64
	slowAt monotime.Instant
	// workedAt is when it last gave an event that is known of.
	workedAt monotime.Instant
	// hazards are how often pauses are longer than each bound in use, and punctual
	// the streams that are likely not to have paused too long.
	hazards  map[time.Duration]*hazard
	punctual map[streamKind]*punctual
	// readSum is the reading done lately, as of readAt; urgency what each second
	// of reading costs the streams, as of urgencyAt.
	readSum   float64
	readAt    monotime.Instant
	urgency   urgency
	urgencyAt monotime.Instant
	retryAt   monotime.Instant
	fullUntil monotime.Instant
	// arrivals is the rate of requests sent there by all instances, as heard.
	arrivals rate
	backoff  time.Duration
}
