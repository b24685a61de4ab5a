package placement

import (
	"time"

	"basilrudder/internal/monotime"
)

// Part is a part of a prompt. Requests with the same parts at their start share
// what an engine keeps of them.
type Part struct {
	// ID of the part.
	ID string
	// Tokens of the part.
	Tokens int
}

// Work is what is known of a request before it runs.
type Work struct {
	// Parts of the prompt in order; none for work that is not a prompt.
	Parts []Part
	// Prompt is the number of its tokens.
	Prompt int
	// Output is the number of tokens expected to be generated.
	Output int
	// Goal is the time to the first event for full credit.
	Goal time.Duration
	// MaxGap is the longest pause between events for full credit; 0 for none.
	MaxGap time.Duration
	// Left is the time until nobody waits for the answer any more; 0 for no bound.
	Left time.Duration
	// FirstLeft is the time until its caller leaves if no event has come; 0 for no bound.
	FirstLeft time.Duration
	// Waited is how long it has waited in the queue of a server, of which it asks whether
	// to leave it for another one; 0 where it has none.
	Waited time.Duration
	// Priority, 0 first.
	Priority int
	// Rank among all requests, by which engines order them; 0 first.
	Rank int
	// Homes are the regions that the request must stay in; nil for no bound. Who lists
	// the candidates keeps to it.
	Homes []string
}

// What a request on time counts for, against costs: two and a half, and a quarter of it
// less for each priority. The configuration says which requests go first and not by
// how much they are worth more, so this falls gently: engines admit the more urgent
// ones first in any case. With the same weight for all the nine days of the same load
// earn 0.807 on two deployments, with one that falls by half they earn 0.811 and 0.815.
const (
	topWeight     = 2.5
	weightDecline = 0.25
)

// weightOf says what a request on time counts for, by its priority.
func weightOf(priority int) float64 {
	return topWeight / (1 + weightDecline*max(0, float64(priority)))
}

func (w *Work) weight() float64 { return weightOf(w.Priority) }

// RunID names a run in the fleet.
type RunID struct {
	// Instance that began it.
	Instance string
	// Number unique within the incarnation of the instance.
	Number int
}

// run is a request on a server.
type run struct {
	server *server
	work   Work
	unread int
	begun  monotime.Instant
	// readLeft is how long its prompt is yet read, once that has begun.
	readLeft time.Duration
	// headAt is since when no prompt is known that is read before its own, and
	// bypassedAt when a request gave its first event that came later and ranks no
	// better; 0 for never.
	headAt, bypassedAt monotime.Instant

	first   bool
	firstAt monotime.Instant
	// deadline is when nobody waits any more; 0 for never.
	deadline monotime.Instant
	// onTime is the probability that the stream did not pause too long at its
	// start, and survivalBefore what had then been kept, see server.onTime.
	onTime, survivalBefore float64
	// order is the number of requests that had begun on the server with this one.
	order int
	// alone says that no other prompt waited to be read on the server.
	alone bool
	// watch is empty for runs of other instances.
	watch watch
}

// reading reports whether the prompt still waits to be read or is being read.
func (r *run) reading() bool {
	return !r.first && r.readLeft > 0
}
