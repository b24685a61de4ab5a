// Package placement chooses the server for a request. It keeps a model of what
// every server is doing, fed by the requests that this instance and its peers
// began, and predicts from it when a request would give its first event and how
// long the pauses of the streams beside it would become. It is pure: callers
// pass the current instant.
package placement

import (
	"math"
	"time"
)

// Pace describes how fast model engines work. Servers of a service may be
// slower; what is observed of each corrects the prediction.
type Pace struct {
	// Step is the time of one step of an engine with nothing to read.
	Step time.Duration
	// StepPerRun is added to a step by each running request.
	StepPerRun time.Duration
	// ReadPerMS is the number of prompt tokens read in a millisecond.
	ReadPerMS float64
	// AttentionPerM is the time for a million pairs of a token read and a token
	// before it. It makes the end of a long prompt slower to read than its start.
	AttentionPerM time.Duration
	// Chunk is the most prompt tokens that one step reads.
	Chunk int
	// First is the time from a request's arrival to its first event with nothing
	// to wait for or to read. Measured: without it predictions were 106 ms early
	// in the median of every class.
	First time.Duration
}

// DefaultPace holds the figures that the operators give for their engines; the
// share of a step that attention takes is that of the same data sheet.
var DefaultPace = Pace{
	Step:          6550 * time.Microsecond,
	StepPerRun:    165 * time.Microsecond,
	ReadPerMS:     62.4,
	AttentionPerM: 525 * time.Microsecond,
	Chunk:         2048,
	First:         125 * time.Millisecond,
}

// pairsPerM converts pairs of tokens to the unit of AttentionPerM.
const pairsPerM = 1e6

// plainStep is a step that reads nothing while runs requests generate.
func (p Pace) plainStep(runs int) time.Duration {
	return p.Step + time.Duration(runs)*p.StepPerRun
}

// readTime is how long reading the last unread tokens of a prompt keeps an
// engine from generating.
func (p Pace) readTime(unread, prompt int) time.Duration {
	read := time.Duration(float64(unread) / p.ReadPerMS * float64(time.Millisecond))
	pairs := float64(unread) * (float64(prompt) - float64(unread)/2)
	return read + time.Duration(math.Max(pairs, 0)/pairsPerM*float64(p.AttentionPerM))
}

// promptTime is how long a prompt takes to be read, the steps included.
func (p Pace) promptTime(unread, prompt, runs int) time.Duration {
	steps := (unread + p.Chunk - 1) / p.Chunk
	return time.Duration(steps)*p.plainStep(runs) + p.readTime(unread, prompt)
}
