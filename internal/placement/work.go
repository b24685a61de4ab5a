package placement

import (
	"time"

	"basilrudder/internal/monotime"
)

// Part is a part of a prompt. Requests with the same leading parts share their cached
// prefix.
type Part struct {
	// ID of the part.
	ID string
	// Tokens of the part.
	Tokens int
}

// Work describes a request before it runs.
type Work struct {
	// Parts of the prompt in order; none for work without a prompt.
	Parts []Part
	// Prompt is the length of the prompt in tokens.
	Prompt int
	// Output is the expected number of generated tokens.
	Output int
	// Goal is the time to the first event for full credit.
	Goal time.Duration
	// MaxGap is the longest pause between events for full credit; 0 for no limit.
	MaxGap time.Duration
	// Left is the time until the caller stops waiting for the answer; 0 for no bound.
	Left time.Duration
	// FirstLeft is the time until the caller leaves if no event has arrived; 0 for no
	// bound.
	FirstLeft time.Duration
	// Waited is how long the request has waited in the queue of a server, when a move to
	// another one is considered; 0 for a request without a server.
	Waited time.Duration
	// Priority; 0 is the most urgent.
	Priority int
	// Rank orders all requests within the engines' queues; 0 is the first.
	Rank int
	// AllowedRegions are the regions that the request must stay in; nil for no bound. The caller
	// of Choose restricts the candidates accordingly.
	AllowedRegions []string
	// Software is the version that a stream may go on at. The caller of Choose restricts the
	// candidates accordingly.
	Software SoftwareBound
	// Resumable means that callers may take the answer up again at other instances.
	Resumable bool
}

// SoftwareBound restricts a request to servers of one software version. The zero value
// allows all.
type SoftwareBound struct {
	Bound   bool
	Version string
}

// OnlySoftware returns the bound to a version.
func OnlySoftware(version string) SoftwareBound {
	return SoftwareBound{Bound: true, Version: version}
}

// Allows reports whether servers of a version are allowed.
func (b SoftwareBound) Allows(version string) bool { return !b.Bound || b.Version == version }

// The weight of a request on time is 2.5 for the most urgent priority, and falls gently:
// it is divided by 1 plus a quarter for each lower priority. The configuration sets which
// requests go first, not how much more they are worth, and engines admit the more urgent
// ones first in any case. With equal weights for all, nine days of the same load earn
// 0.807 on two deployments; with a weight that falls by half they earn 0.811 and 0.815.
const (
	topWeight     = 2.5
	weightDecline = 0.25
)

// weightOf returns the weight of a request on time by its priority.
func weightOf(priority int) float64 {
	return topWeight / (1 + weightDecline*max(0, float64(priority)))
}

func (w *Work) weight() float64 { return weightOf(w.Priority) }

// RunID identifies a run in the fleet.
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
	// readLeft is the remaining time to read its prompt, from when that begins.
	readLeft time.Duration
	// headAt is since when no prompt is tracked that is read before its own, and
	// bypassedAt when a request that arrived later and is no more urgent gave its first
	// event; 0 for never.
	headAt, bypassedAt monotime.Instant

	first   bool
	firstAt monotime.Instant
	// deadline is when the caller stops waiting; 0 for never.
	deadline monotime.Instant
	// onTime is the probability that the stream was on time at its start, and
	// survivalBefore the survival at that time, see server.onTime.
	onTime, survivalBefore float64
	// order is the number of requests that had begun on the server, this one included.
	order int
	// long is set if the run holds its slot for longer than any request can wait.
	long bool
	// alone is set if no other prompt waited to be read on the server when it began.
	alone bool
	// watch is empty for runs of other instances.
	watch watch
	// pauses is nil for runs that are not watched.
	pauses *pauseWatch
}

// reading reports whether the prompt waits to be read or is being read.
func (r *run) reading() bool {
	return !r.first && r.readLeft > 0
}
