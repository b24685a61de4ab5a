package placement

import (
	"time"

	"basilrudder/internal/pace"
)

// Reading a part of a prompt again that some engine has cached wastes time that could
// have served other requests. Its cost is therefore counted in requests: relative to the
// mean time to read a prompt of the service.

const (
	// wasteWeight is the cost of wasting the mean reading time of a request: a quarter of
	// a request on time. Engines mostly have time to spare, and a choice must not be late
	// in order to avoid waste.
	wasteWeight = 0.25
	// maxRereadShare bounds the cost of rereading for one request, as a share of its
	// weight, for the same reason.
	maxRereadShare = 0.8
	// fetchWeight is the cost of fetching a part relative to reading it again: the copy
	// takes memory from other parts that may be requested again, and the transfer is paid
	// for. It is below 1, so that an engine which needs a part fetches it rather than
	// reads it. Requests that are on time where their prompt is cached then stay there.
	// At 60 and 95 engines half as much is transferred as with 0.3 and as little is
	// reread, and days of high load earn 0.01 to 0.02 more with 0.6 or 1; with 9 to 18
	// engines the difference is within random variation.
	fetchWeight = 0.8
	// readTimeWeight is the weight of the latest request in the mean time to read one. A
	// larger one makes costs vary with single prompts.
	readTimeWeight = 0.01
	// initialMeanReadTime is assumed before the first request.
	initialMeanReadTime = 50 * time.Millisecond
)

// recordReadTime updates the mean time to read a prompt.
func (k *engineKind) recordReadTime(took time.Duration) {
	k.meanReadTime += time.Duration(readTimeWeight * float64(took-k.meanReadTime))
}

// wasteCost returns the cost of reading tokens again on an engine.
func (k *engineKind) wasteCost(speed *pace.Pace, tokens int) float64 {
	return wasteWeight * float64(speed.Read(tokens, tokens)) / float64(max(k.meanReadTime, time.Millisecond))
}
