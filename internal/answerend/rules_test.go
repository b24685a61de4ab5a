package answerend

import (
	"math/rand/v2"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

// end is the end of an answer without a mark in the model, with what is true of its server.
type end struct {
	at monotime.Instant
	// part means that the server's process ended before the answer was whole.
	part     bool
	server   int
	evidence Evidence
	// probe is what a new connection would show.
	probe Probe
}

// world is the load and the network of one instance before servers that mark no ends.
type world struct {
	draw    *rand.Rand
	servers int
	rate    float64 // answers a second
	lost    float64 // share of ends of connections that arrive late
	unknown float64 // share of servers that leave without its being known
}

func newWorld(seed uint64) world {
	draw := rand.New(rand.NewPCG(seed, 0))
	return world{draw, 1 + draw.IntN(40), 1 + 200*draw.Float64()*draw.Float64(), 0.03 * draw.Float64(), 0.3 * draw.Float64()}
}

// siblings draws the other connections to a server, of which a share is open.
func (w world) siblings(open float64) Siblings {
	var out Siblings
	for range w.draw.IntN(2 + int(w.rate/float64(w.servers))) {
		if w.draw.Float64() < open {
			out.Open++
		} else {
			out.Ended++
		}
	}
	return out
}

// ends returns the ends of ten minutes: of whole answers, of servers that are killed, some of
// them all at once, and of servers that leave in order or in the middle of answers.
func (w world) ends() []end {
	var out []end
	at := monotime.Instant(time.Second)
	for at < monotime.Instant(10*time.Minute) {
		at = at.Add(time.Duration(w.draw.ExpFloat64() / w.rate * float64(time.Second)))
		resumable := w.draw.IntN(2) == 0
		switch kind := w.draw.Float64() * w.rate * 5; {
		case kind < 1: // about one each five seconds
			first, count := w.draw.IntN(w.servers), 1
			if w.draw.IntN(20) == 0 {
				count = w.servers
			}
			for n := range count {
				out = append(out, w.killed(at, (first+n)%w.servers, w.draw.Float64() < 0.1)...)
			}
		case kind < 1.3:
			leaving := w.draw.Float64() >= w.unknown
			out = append(out, end{at, false, w.draw.IntN(w.servers), Evidence{Siblings{}, NotProbed, leaving, resumable}, Refused})
		default:
			probe := Accepted
			if w.draw.IntN(200) == 0 {
				probe = Unanswered
			}
			out = append(out, end{at, false, w.draw.IntN(w.servers), Evidence{w.siblings(0.95), NotProbed, false, resumable}, probe})
		}
	}
	return out
}

func (w world) killed(at monotime.Instant, server int, leaving bool) []end {
	var out []end
	probe := Refused
	if w.draw.IntN(50) == 0 {
		probe = Unanswered
	}
	for range 1 + w.draw.IntN(4) {
		out = append(out, end{at, true, server, Evidence{w.siblings(w.lost), NotProbed, leaving, w.draw.IntN(2) == 0}, probe})
	}
	return out
}

type tally struct {
	wholes, parts, broken, passed, probes int
	held                                  time.Duration
}

// Times that a decision takes.
const (
	siblingTime = 10 * time.Millisecond
	probeTime   = 2 * time.Millisecond
	expiry      = 300 * time.Millisecond
)

// play applies a rule to all ends. Ends of one server at one instant share a probe.
func play(ends []end, asks func(Evidence) bool, allowed func(Evidence, monotime.Instant) bool, decide func(Evidence) Decision, hold time.Duration) tally {
	var out tally
	probedAt := make(map[int]monotime.Instant)
	for _, e := range ends {
		out.held += hold
		if asks(e.evidence) {
			shared := probedAt[e.server] == e.at
			if shared || allowed(e.evidence, e.at) {
				e.evidence.Probe = e.probe
				probedAt[e.server] = e.at
				out.held += probeTime
				if e.probe == Unanswered {
					out.held += expiry
				}
				if !shared {
					out.probes++
				}
			}
		}
		doubtful := decide(e.evidence) == Doubtful
		switch {
		case e.part && !doubtful:
			out.passed++
		case !e.part && doubtful:
			out.broken++
		}
		if e.part {
			out.parts++
		} else {
			out.wholes++
		}
	}
	return out
}

// Guards against a rule for ends without a mark that others surpass.
func TestTheRuleForUnmarkedEndsComparesWell(t *testing.T) {
	always := func(Evidence) bool { return true }
	never := func(Evidence) bool { return false }
	unlimited := func(Evidence, monotime.Instant) bool { return true }
	refused := func(e Evidence) Decision {
		if e.Probe == Refused {
			return Doubtful
		}
		return Whole
	}
	ended := func(e Evidence) Decision {
		if e.Siblings.Open == 0 && e.Siblings.Ended > 0 {
			return Doubtful
		}
		return Whole
	}
	totals := make(map[string]tally)
	for seed := range uint64(50) {
		ends := newWorld(seed).ends()
		budget := new(Budget)
		blind := func(_ Evidence, now monotime.Instant) bool { return budget.Take(Evidence{}, now) }
		for name, got := range map[string]tally{
			"each end is whole":         play(ends, never, unlimited, func(Evidence) Decision { return Whole }, 0),
			"connections":               play(ends, never, unlimited, ended, siblingTime),
			"probe":                     play(ends, always, unlimited, refused, 0),
			"probe, bounded":            play(ends, always, blind, refused, 0),
			"connections, then a probe": play(ends, Evidence.NeedsProbe, new(Budget).Take, Evidence.Decide, siblingTime),
		} {
			sum := totals[name]
			sum.wholes += got.wholes
			sum.parts += got.parts
			sum.broken += got.broken
			sum.passed += got.passed
			sum.probes += got.probes
			sum.held += got.held
			totals[name] = sum
		}
	}
	for name, got := range totals {
		n := got.wholes + got.parts
		t.Logf("%-26s %d of %d parts look whole, %d of %d wholes look broken, %.4f probes an end, held %v",
			name, got.passed, got.parts, got.broken, got.wholes, float64(got.probes)/float64(n), got.held/time.Duration(n))
	}
	kept, probe, bounded, connections := totals["connections, then a probe"], totals["probe"], totals["probe, bounded"], totals["connections"]
	switch {
	case kept.passed >= bounded.passed, kept.passed >= connections.passed:
		t.Error("other rules of bounded cost find more parts")
	case kept.broken >= probe.broken, kept.broken >= connections.broken:
		t.Error("other rules break fewer whole answers")
	case kept.probes >= probe.probes:
		t.Error("a probe for each end takes fewer connections")
	}
}
