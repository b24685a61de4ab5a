// Package pace predicts how fast model engines work, and learns it from what
// their answers show: when first events come, how fast streams run, and what was
// read beside them. It is pure: it does no I/O and reads no clock.
package pace

import (
	"math"
	"time"
)

// Pace describes how fast an engine works.
type Pace struct {
	// Step is the time of one step of an engine with nothing to read.
	Step time.Duration
	// StepPerRun is added to a step by each running request.
	StepPerRun time.Duration
	// ReadToken is the time to read one token of a prompt.
	ReadToken time.Duration
	// AttentionPerM is the time for a million pairs of a token read and a token
	// before it. It makes the end of a long prompt slower to read than its start.
	AttentionPerM time.Duration
	// First is the time from a request's arrival to its first event with nothing
	// to wait for or to read.
	First time.Duration
}

// DefaultPrior is what is assumed of engines of which nothing is known yet. It is the
// order of magnitude of accelerators of today with models of some 70 billion
// parameters: reading the weights once takes some 5 ms, and so does computing 250
// tokens of a prompt. It decides for the first seconds of a service only; too fast
// is safer than too slow, since all servers then look alike and requests go where
// their prompts are kept.
var DefaultPrior = Pace{
	Step:          5 * time.Millisecond,
	StepPerRun:    20 * time.Microsecond,
	ReadToken:     20 * time.Microsecond,
	AttentionPerM: 500 * time.Microsecond,
	First:         10 * time.Millisecond,
}

// Chunk is the most prompt tokens that one step reads. Answers do not show it. It
// is the usual default of engines that read prompts between the tokens of other
// requests; an engine with other chunks has the same throughput, and pauses that
// differ as the chunk does.
const Chunk = 2048

// pairsPerM converts pairs of tokens to the unit of AttentionPerM.
const pairsPerM = 1e6

// DecodeStep is the time of a step that reads nothing while runs requests generate.
func (p Pace) DecodeStep(runs int) time.Duration {
	return p.Step + time.Duration(runs)*p.StepPerRun
}

// Pairs is the number of pairs of tokens, in millions, of reading the last unread
// tokens of a prompt.
func Pairs(unread, prompt int) float64 {
	return math.Max(0, float64(unread)*(float64(prompt)-float64(unread)/2)) / pairsPerM
}

// Read is how long reading the last unread tokens of a prompt keeps an engine from
// generating.
func (p Pace) Read(unread, prompt int) time.Duration {
	return time.Duration(unread)*p.ReadToken + time.Duration(Pairs(unread, prompt)*float64(p.AttentionPerM))
}

// Prompt is how long a prompt takes to be read, the steps included.
func (p Pace) Prompt(unread, prompt, runs int) time.Duration {
	steps := (unread + Chunk - 1) / Chunk
	return time.Duration(steps)*p.DecodeStep(runs) + p.Read(unread, prompt)
}

// Slower is the pace of an engine that takes so many times as long for everything.
func (p Pace) Slower(factor float64) Pace {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * factor) }
	return Pace{
		Step: scale(p.Step), StepPerRun: scale(p.StepPerRun), ReadToken: scale(p.ReadToken),
		AttentionPerM: scale(p.AttentionPerM), First: scale(p.First),
	}
}
