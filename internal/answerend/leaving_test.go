package answerend

import (
	"math/rand/v2"
	"testing"
	"time"
)

// lastAnswer is an answer without a mark, the only one of an instance at a server that leaves,
// in the model. Times count from the server's announcement.
type lastAnswer struct {
	// end is when the answer ended, part whether the server's process ended it.
	end  time.Duration
	part bool
	// exit is when the process ended, and listensUntil when it stopped listening: at its end, or
	// before in order to complete its answers.
	exit, listensUntil time.Duration
	// closesIdle means that it closed idle connections as it stopped listening.
	closesIdle bool
}

// drawLastAnswer draws an answer. A share of the servers stops listening before it ends.
func drawLastAnswer(draw *rand.Rand, earlyShare float64) lastAnswer {
	seconds := func(mean float64) time.Duration {
		return time.Duration(mean * draw.ExpFloat64() * float64(time.Second))
	}
	a := lastAnswer{end: seconds(2)}
	stops := 2*time.Second + seconds(1)
	if draw.Float64() >= earlyShare {
		// It accepts connections until it ends, whatever it is sending.
		a.exit, a.listensUntil = stops, stops
	} else {
		a.listensUntil, a.closesIdle = stops-seconds(0.5), draw.IntN(2) == 0
		a.exit = max(a.listensUntil, min(a.end, a.listensUntil+time.Duration(1+draw.IntN(10))*time.Second))
	}
	if a.end > a.exit {
		a.end, a.part = a.exit, true
	}
	return a
}

// refusedWhileSending reports whether checks at an interval find the server not listening
// before the answer ends.
func (a *lastAnswer) refusedWhileSending(interval time.Duration) bool {
	const open = siblingTime // how long the answer's connection has to stay open after the refusal
	first := max(0, (a.listensUntil+interval-1)/interval*interval)
	return first+open < a.end
}

// lastAnswerRules decide whether an answer is doubtful, and return how many connections that took.
var lastAnswerRules = map[string]func(a *lastAnswer) (Decision, int){
	"trust":          func(*lastAnswer) (Decision, int) { return Whole, 0 },
	"probe (chosen)": func(a *lastAnswer) (Decision, int) { return a.probed(), 1 },
	"trust those that refused connections while sending": func(a *lastAnswer) (Decision, int) {
		const interval = 500 * time.Millisecond
		checks := 1 + int(min(a.end, max(0, a.listensUntil))/interval)
		if a.refusedWhileSending(interval) {
			return Whole, checks
		}
		return a.probed(), 1 + checks
	},
	"second connection": func(a *lastAnswer) (Decision, int) {
		ended := a.exit
		if a.closesIdle {
			ended = a.listensUntil
		}
		return decisionOf(ended <= a.end+siblingTime && ended >= a.end-siblingTime), 1
	},
}

// probed decides by a probe after the end.
func (a *lastAnswer) probed() Decision {
	e := Evidence{Probe: Identified}
	if a.end+siblingTime+probeTime >= a.listensUntil {
		e.Probe = Refused
	}
	return e.Decide()
}

// Guards against a rule by which the part of an answer that a leaving server sent looks whole.
func TestTheRuleForLastAnswersOfLeavingServersComparesWell(t *testing.T) {
	type errors struct{ parts, wholes, passed, broken, connections int }
	totals := make(map[string]errors)
	for seed := range uint64(50) {
		draw := rand.New(rand.NewPCG(firstSeed+seed, 0))
		earlyShare := draw.Float64()
		for range 2000 {
			a := drawLastAnswer(draw, earlyShare)
			for name, rule := range lastAnswerRules {
				sum := totals[name]
				decision, connections := rule(&a)
				sum.connections += connections
				switch {
				case a.part && decision == Whole:
					sum.passed++
				case !a.part && decision == Doubtful:
					sum.broken++
				}
				if a.part {
					sum.parts++
				} else {
					sum.wholes++
				}
				totals[name] = sum
			}
		}
	}
	for name, sum := range totals {
		t.Logf("%-50s %d of %d parts look whole, %d of %d wholes look broken, %.2f connections an answer",
			name, sum.passed, sum.parts, sum.broken, sum.wholes, float64(sum.connections)/float64(sum.parts+sum.wholes))
	}
	chosen, second := totals["probe (chosen)"], totals["second connection"]
	if chosen.passed > 0 || chosen.parts == 0 {
		t.Errorf("%d of %d parts look whole", chosen.passed, chosen.parts)
	}
	if chosen.connections > second.connections {
		t.Error("it takes more connections than a second one for each answer")
	}
}
