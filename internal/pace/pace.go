// Package pace models the speed of LLM engines and learns it from their responses: from
// the times of first events, the speed of streams, and the prompts read meanwhile.
// Reading a prompt means its prefill. The package does no I/O and reads no clock.
package pace

import (
	"math"
	"time"
)

// Pace describes the speed of an engine.
type Pace struct {
	// Step is the time of one step with no prompt to read and no running request.
	Step time.Duration
	// StepPerRun is added to a step by each running request.
	StepPerRun time.Duration
	// ReadToken is the time to read one token of a prompt.
	ReadToken time.Duration
	// AttentionPerM is the time for a million pairs of a token read and a token before
	// it. It makes the end of a long prompt slower to read than its start.
	AttentionPerM time.Duration
	// First is the time from a request's arrival to its first event with no queue and
	// nothing to read.
	First time.Duration
}

// DefaultPrior is assumed for engines without samples. It has the order of magnitude of
// current accelerators with models of some 70 billion parameters: reading the weights
// once takes some 5 ms, and so does computing 250 tokens of a prompt. It decides only in
// the first seconds of a service. Too fast a prior is safer than too slow a one: all
// servers then look alike, and requests go where their prompts are cached.
var DefaultPrior = Pace{
	Step:          5 * time.Millisecond,
	StepPerRun:    20 * time.Microsecond,
	ReadToken:     20 * time.Microsecond,
	AttentionPerM: 500 * time.Microsecond,
	First:         10 * time.Millisecond,
}

// Chunk is the maximum number of prompt tokens that one step reads. Responses don't
// reveal it. 2048 is the usual default of engines with chunked prefill. An engine with
// another chunk size has the same throughput, but its pauses differ from the predicted
// ones in proportion.
const Chunk = 2048

// pairsPerM converts pairs of tokens to the unit of AttentionPerM.
const pairsPerM = 1e6

// DecodeStep returns the time of a step that reads no prompt while the given number of
// requests generate.
func (p Pace) DecodeStep(runs int) time.Duration {
	return p.Step + time.Duration(runs)*p.StepPerRun
}

// Pairs returns the number of pairs of tokens, in millions, that attention computes for
// the last unread tokens of a prompt.
func Pairs(unread, prompt int) float64 {
	return math.Max(0, float64(unread)*(float64(prompt)-float64(unread)/2)) / pairsPerM
}

// Read returns the time for which reading the last unread tokens of a prompt keeps an
// engine from generating.
func (p Pace) Read(unread, prompt int) time.Duration {
	return time.Duration(unread)*p.ReadToken + time.Duration(Pairs(unread, prompt)*float64(p.AttentionPerM))
}

// Prompt returns the time to read a prompt beside running requests, the time of the steps
// included.
func (p Pace) Prompt(unread, prompt, runs int) time.Duration {
	steps := (unread + Chunk - 1) / Chunk
	return time.Duration(steps)*p.DecodeStep(runs) + p.Read(unread, prompt)
}

// Slower returns the pace of an engine whose times are all longer by a factor.
func (p Pace) Slower(factor float64) Pace {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * factor) }
	return Pace{
		Step: scale(p.Step), StepPerRun: scale(p.StepPerRun), ReadToken: scale(p.ReadToken),
		AttentionPerM: scale(p.AttentionPerM), First: scale(p.First),
	}
}
