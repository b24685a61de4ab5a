package placement

import (
	"time"

	"basilrudder/internal/pace"
)

// Reading a part of a prompt again that some engine keeps wastes time of the engine.
// That time could have served others, so it counts in requests: by what a request
// of the service takes to be read in the mean.

const (
	// wasteShare is what it counts for to waste as much time as reading takes for a
	// mean request: a quarter of a request on time. Engines mostly have time to spare,
	// and a choice that wastes nothing must not be late for it.
	wasteShare = 0.25
	// rereadMost bounds what is wasted by one request, as a share of its weight, for
	// the same reason.
	rereadMost = 0.8
	// fetchShare is what it counts for to fetch a part in place of reading it again, as a
	// share of that: the copy takes memory in which other parts were kept that may be
	// asked for again, and the link is paid for. Below 1, so that an engine which needs a
	// part rather fetches it than reads it. Requests that are not late where their prompt
	// is kept then stay there: at 60 and 95 engines half as much is moved as with 0.3, as
	// little is read again, and the days of high load earn 0.01 to 0.02 more with 0.6 or
	// 1; with 9 to 18 engines it makes no difference beyond chance.
	fetchShare = 0.8
	// meanShare is the weight of the newest request in the mean time to read one.
	meanShare = 0.01
	// meanAtFirst is assumed before the first.
	meanAtFirst = 50 * time.Millisecond
)

// noteReading takes the time into account that reading a request takes.
func (k *engineKind) noteReading(took time.Duration) {
	k.meanReading += time.Duration(meanShare * float64(took-k.meanReading))
}

// waste is what it counts for that an engine reads tokens again.
func (k *engineKind) waste(speed *pace.Pace, tokens int) float64 {
	return wasteShare * float64(speed.Read(tokens, tokens)) / float64(max(k.meanReading, time.Millisecond))
}
