package placement

import (
	"time"

	"basilrudder/internal/pace"
)

// Reading a part of a prompt again that some engine keeps wastes time of the engine.
// That time could have served others, so it counts in requests: by what a request
// of the service takes to be read in the mean.

const (
	// wasteWeight is what it counts for to waste as much time as reading takes for a
	// mean request: a quarter of a request on time. Engines mostly have time to spare,
	// and a choice that wastes nothing must not be late for it.
	wasteWeight = 0.25
	// maxRereadShare bounds what is wasted by one request, as a share of its weight, for
	// the same reason.
	maxRereadShare = 0.8
	// fetchWeight is what it counts for to fetch a part in place of reading it again, as a
	// share of that: the copy takes memory in which other parts were kept that may be
	// asked for again, and the link is paid for. Below 1, so that an engine which needs a
	// part rather fetches it than reads it. Requests that are not late where their prompt
	// is kept then stay there: at 60 and 95 engines half as much is moved as with 0.3, as
	// little is read again, and the days of high load earn 0.01 to 0.02 more with 0.6 or
	// 1; with 9 to 18 engines it makes no difference beyond chance.
	fetchWeight = 0.8
	// readTimeWeight is the weight of the newest request in the mean time to read one.
	readTimeWeight = 0.01
	// initialMeanReadTime is assumed before the first.
	initialMeanReadTime = 50 * time.Millisecond
)

// recordReadTime takes the time into account that reading a request takes.
func (k *engineKind) recordReadTime(took time.Duration) {
	k.meanReadTime += time.Duration(readTimeWeight * float64(took-k.meanReadTime))
}

// wasteCost is what it counts for that an engine reads tokens again.
func (k *engineKind) wasteCost(speed *pace.Pace, tokens int) float64 {
	return wasteWeight * float64(speed.Read(tokens, tokens)) / float64(max(k.meanReadTime, time.Millisecond))
}
