package emulator

import (
	"fmt"
	"math"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
)

// call is one request of a caller, from its first attempt to its outcome.
type call struct {
	sim       *sim
	class     *Class
	work      placement.Work
	output    int
	startedAt monotime.Instant
	deadline  monotime.Instant

	retried    bool
	run        *run
	engine     *engine
	firstAt    monotime.Instant
	lastAt     monotime.Instant
	longestGap time.Duration
	latePause  float64 // predicted probability of a longer gap than allowed
	finished   bool
}

func (s *sim) newCall(class *Class) *call {
	s.calls++
	own := s.drawLength(class.OwnTokens)
	shared := fmt.Sprintf("%s-%d", class.Name, s.random.IntN(max(1, class.SharedParts)))
	c := &call{sim: s, class: class, output: s.drawLength(class.Output)}
	hint := float64(c.output) * math.Exp(outputHintSigma*s.random.NormFloat64())
	c.work = placement.Work{
		Parts: []placement.Part{
			{ID: shared, Tokens: class.SharedTokens}, {ID: fmt.Sprintf("own-%d", s.calls), Tokens: own},
		},
		Prompt: class.SharedTokens + own, Output: max(1, int(hint)),
		Goal: class.Goal, MaxGap: class.MaxGap, Priority: class.Priority,
	}
	s.result.PromptTokens += c.work.Prompt
	return c
}

// send sends the request to a randomly chosen instance. The first attempt also starts
// the timeout.
func (c *call) send() {
	if c.startedAt == 0 {
		c.startedAt = c.sim.now()
		c.deadline = c.startedAt.Add(c.class.Timeout)
		c.sim.loop.At(c.deadline, c.timeout)
	}
	instances := c.sim.instances
	instances[c.sim.random.IntN(len(instances))].place(c)
}

// retryOrRefuse schedules the one retry, or finishes the call after the second refusal.
func (c *call) retryOrRefuse() {
	if c.retried {
		c.finish(Refused)
		return
	}
	c.retried = true
	delay := minRetryDelay + time.Duration(c.sim.random.Float64()*float64(retryJitter))
	c.sim.loop.After(delay, func() {
		if !c.finished {
			c.send()
		}
	})
}

// recordEvent records an event of the response and the gap before it.
func (c *call) recordEvent(now monotime.Instant) {
	if c.firstAt == 0 {
		c.firstAt = now
	} else {
		c.longestGap = max(c.longestGap, now.Sub(c.lastAt))
	}
	c.lastAt = now
}

func (c *call) complete() {
	if c.class.MaxGap > 0 && c.startedAt.Sub(c.sim.start) >= warmUp {
		c.sim.result.Class(c.class.Name).Pauses.Add(c.latePause, c.longestGap > c.class.MaxGap-placement.PauseMargin)
	}
	if c.class.MaxGap > 0 && c.longestGap > c.class.MaxGap || c.firstAt.Sub(c.startedAt) > c.class.Goal {
		c.finish(Late)
	} else {
		c.finish(OnTime)
	}
}

func (c *call) fail() { c.finish(Failed) }

// timeout fails a call at its deadline and removes its run from the engine at once.
func (c *call) timeout() {
	if c.finished {
		return
	}
	if c.engine != nil {
		c.engine.remove(c.run)
		c.run.instance.endRun(c.run)
	}
	c.finish(Failed)
}

func (c *call) finish(o Outcome) {
	if c.finished {
		return
	}
	c.finished = true
	c.sim.result.count(c.class.Name, o)
}
