package answerend

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

// firstSeed is the first seed of the worlds.
const firstSeed = 1000

// end is the end of an answer without a mark in the model, with what is true of its server.
type end struct {
	at monotime.Instant
	// part means that the server's process ended before the answer was whole.
	part     bool
	server   int
	evidence Evidence
	// leaving means that the server is known to leave, and resumable that another one can add
	// what is missing.
	leaving, resumable bool
	// atOnce means that other connections ended in the same instant, not before.
	atOnce bool
	// bare is what a new connection would show by being accepted or not, and identified what
	// the reply on it would.
	bare, identified Probe
}

// world is the load and the network of one instance before servers that mark no ends.
type world struct {
	draw     *rand.Rand
	servers  int
	rate     float64 // answers a second
	lost     float64 // share of ends of connections that arrive late
	unknown  float64 // share of servers that leave without its being known
	fronted  float64 // share of servers behind something that accepts for them
	crowded  float64 // share of new connections dropped by servers that have too many
	sameStep float64 // share of whole answers that end in one instant with others
}

func newWorld(seed uint64) world {
	draw := rand.New(rand.NewPCG(seed, 0))
	return world{
		draw, 1 + draw.IntN(40), 1 + 200*draw.Float64()*draw.Float64(), 0.03 * draw.Float64(), 0.3 * draw.Float64(),
		draw.Float64(), 0.02 * draw.Float64(), 0.3 * draw.Float64(),
	}
}

func (w world) one(share float64) bool { return w.draw.Float64() < share }

// siblings draws the other connections to a server, of which a share is open.
func (w world) siblings(open float64) Siblings {
	var out Siblings
	for range w.draw.IntN(2 + int(w.rate/float64(w.servers))) {
		if w.one(open) {
			out.Open++
		} else {
			out.Ended++
		}
	}
	return out
}

// isFronted reports whether a server is behind something that accepts for it.
func (w world) isFronted(server int) bool { return float64(server) < w.fronted*float64(w.servers) }

// gone returns what a new connection shows to a server whose process has ended.
func (w world) gone(server int) (bare, identified Probe) {
	switch fate := w.draw.IntN(100); {
	case fate < 2:
		return Unanswered, Unanswered
	case !w.isFronted(server):
		return Refused, Refused
	case fate < 15:
		return Accepted, Unidentified
	case fate < 30:
		return Accepted, Replaced
	default:
		return Accepted, Dropped
	}
}

// alive returns what a new connection shows to a server that runs.
func (w world) alive() (bare, identified Probe) {
	switch fate := w.draw.IntN(200); {
	case fate == 0:
		return Unanswered, Unanswered
	case w.one(w.crowded):
		return Accepted, Dropped
	case fate < 5:
		return Accepted, Unidentified
	default:
		return Accepted, Identified
	}
}

// ends returns the ends of ten minutes: of whole answers, of servers that are killed, some of
// them all at once, and of servers that leave in order or in the middle of answers.
func (w world) ends() []end {
	var out []end
	at := monotime.Instant(time.Second)
	for at < monotime.Instant(10*time.Minute) {
		at = at.Add(time.Duration(w.draw.ExpFloat64() / w.rate * float64(time.Second)))
		e := end{at: at, server: w.draw.IntN(w.servers)}
		switch kind := w.draw.Float64() * w.rate * 5; {
		case kind < 1: // about one each five seconds
			count := 1
			if w.draw.IntN(20) == 0 {
				count = w.servers
			}
			for n := range count {
				out = append(out, w.killed(at, (e.server+n)%w.servers)...)
			}
			continue
		case kind < 1.3:
			e.leaving = !w.one(w.unknown)
			if w.one(0.3) { // idle connections are closed as the server begins to stop
				e.evidence.Siblings.Ended = 1
			}
			e.bare, e.identified = w.gone(e.server)
		default:
			e.evidence.Siblings = w.siblings(0.95)
			e.atOnce = e.evidence.Siblings.Ended > 0 && w.one(w.sameStep)
			e.bare, e.identified = w.alive()
		}
		e.resumable = w.one(0.5)
		out = append(out, e)
	}
	return out
}

func (w world) killed(at monotime.Instant, server int) []end {
	var out []end
	leaving := w.one(0.1)
	bare, identified := w.gone(server)
	for range 1 + w.draw.IntN(4) {
		siblings := w.siblings(w.lost)
		out = append(out, end{at, true, server, Evidence{Siblings: siblings}, leaving, w.one(0.5), siblings.Ended > 0, bare, identified})
	}
	return out
}

// rule is a way to decide on ends.
type rule struct {
	asks       func(end) bool
	allowed    func(Evidence, monotime.Instant) bool
	identifies bool
	decide     func(end) Decision
	hold       time.Duration
}

type tally struct {
	wholes, parts, passed, probes int
	// broken are whole answers that were doubted in vain, and rerun those of them that are
	// completed at another server.
	broken, rerun int
	held          time.Duration
}

// Times that a decision takes.
const (
	siblingTime = 10 * time.Millisecond
	probeTime   = 2 * time.Millisecond
	replyTime   = 2 * time.Millisecond
	replyExpiry = 100 * time.Millisecond
	expiry      = 300 * time.Millisecond
)

// probeHold returns how long the result of a probe takes.
func (r rule) probeHold(found Probe) time.Duration {
	switch {
	case found == Unanswered:
		return probeTime + expiry
	case found == Unidentified:
		return probeTime + replyExpiry
	case r.identifies:
		return probeTime + replyTime
	default:
		return probeTime
	}
}

// play applies a rule to all ends. Ends of one server at one instant share a probe.
func (r rule) play(ends []end) tally {
	var out tally
	probedAt := make(map[int]monotime.Instant)
	for _, e := range ends {
		out.held += r.hold
		shared := probedAt[e.server] == e.at
		if r.asks(e) && (shared || r.allowed(e.evidence, e.at)) {
			e.evidence.Probe = e.bare
			if r.identifies {
				e.evidence.Probe = e.identified
			}
			out.held += r.probeHold(e.evidence.Probe)
			if !shared {
				out.probes++
			}
			probedAt[e.server] = e.at
		}
		out.add(e, r.decide(e))
	}
	return out
}

func (t *tally) add(e end, decision Decision) {
	switch {
	case e.part && decision == Whole:
		t.passed++
	case !e.part && decision == Doubtful:
		t.broken++
		if e.resumable {
			t.rerun++
		}
	}
	if e.part {
		t.parts++
	} else {
		t.wholes++
	}
}

func decisionOf(doubtful bool) Decision {
	if doubtful {
		return Doubtful
	}
	return Whole
}

// rules returns the rules that are compared, with budgets of their own.
func rules() map[string]rule {
	always := func(end) bool { return true }
	never := func(end) bool { return false }
	mayBeLast := func(e end) bool { return e.leaving && e.evidence.Siblings.Ended == 0 && !e.resumable }
	noneOpen := func(e end) bool { return e.evidence.Siblings.Open == 0 && !mayBeLast(e) }
	needsProbe := func(e end) bool { return e.evidence.NeedsProbe() }
	unlimited := func(Evidence, monotime.Instant) bool { return true }
	blind := new(Budget)
	bounded := func(_ Evidence, now monotime.Instant) bool { return blind.Take(Evidence{}, now) }
	gone := func(e end) Decision { return decisionOf(e.evidence.Probe.ServerGone()) }
	chosen := func(e end) Decision { return e.evidence.Decide() }
	return map[string]rule{
		"whole": {never, unlimited, false, func(end) Decision { return Whole }, 0},
		"connections": {never, unlimited, false, func(e end) Decision {
			return decisionOf(e.evidence.Siblings.Open == 0 && e.evidence.Siblings.Ended > 0)
		}, siblingTime},
		"each, unbounded":                {always, unlimited, true, gone, 0},
		"each, bounded":                  {always, bounded, true, gone, 0},
		"none open, accepted or refused": {noneOpen, new(Budget).Take, false, gone, siblingTime},
		"none open, instants": {noneOpen, new(Budget).Take, false, func(e end) Decision {
			return decisionOf(e.evidence.Probe.ServerGone() || e.evidence.Siblings.Open == 0 && e.atOnce)
		}, siblingTime},
		"none open, identity": {noneOpen, new(Budget).Take, true, gone, siblingTime},
		"none open, identity, ended": {noneOpen, new(Budget).Take, true, func(e end) Decision {
			return decisionOf(e.evidence.Probe.ServerGone() || e.evidence.Probe == Unidentified && e.evidence.Siblings.Ended > 0)
		}, siblingTime},
		"chosen: most ended, identity, ended": {needsProbe, new(Budget).Take, true, chosen, siblingTime},
		"chosen, trusting the last answers of leaving servers": {
			func(e end) bool { return e.evidence.NeedsProbe() && !mayBeLast(e) }, new(Budget).Take, true, func(e end) Decision {
				return decisionOf(!mayBeLast(e) && e.evidence.Decide() == Doubtful)
			}, siblingTime,
		},
		"chosen, no lone drops": {needsProbe, new(Budget).Take, true, func(e end) Decision {
			lone := e.evidence.Probe == Dropped && e.evidence.Siblings.Ended == 0 && !e.resumable
			return decisionOf(!lone && e.evidence.Decide() == Doubtful)
		}, siblingTime},
		"chosen, with instants": {needsProbe, new(Budget).Take, true, func(e end) Decision {
			if !e.atOnce {
				e.evidence.Siblings.Ended = 0
			}
			return e.evidence.Decide()
		}, siblingTime},
	}
}

// Guards against a rule for ends without a mark that others surpass.
func TestTheRuleForUnmarkedEndsComparesWell(t *testing.T) {
	totals := make(map[string]tally)
	for seed := range uint64(50) {
		ends := newWorld(firstSeed + seed).ends()
		for name, r := range rules() {
			got, sum := r.play(ends), totals[name]
			sum.wholes += got.wholes
			sum.parts += got.parts
			sum.broken += got.broken
			sum.rerun += got.rerun
			sum.passed += got.passed
			sum.probes += got.probes
			sum.held += got.held
			totals[name] = sum
		}
	}
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		got := totals[name]
		n := got.wholes + got.parts
		t.Logf("%-52s %d of %d parts look whole, %d of %d wholes look broken (%d resumed), %.4f probes an end, held %v",
			name, got.passed, got.parts, got.broken, got.wholes, got.rerun, float64(got.probes)/float64(n), got.held/time.Duration(n))
	}
	kept, each, bounded, connections := totals["chosen: most ended, identity, ended"], totals["each, unbounded"], totals["each, bounded"], totals["connections"]
	switch {
	case kept.passed >= bounded.passed, kept.passed >= connections.passed,
		kept.passed >= totals["none open, accepted or refused"].passed, kept.passed >= totals["none open, instants"].passed:
		t.Error("other rules of bounded cost find more parts")
	case kept.broken >= each.broken, kept.broken >= connections.broken:
		t.Error("other rules break fewer whole answers")
	case kept.probes >= each.probes:
		t.Error("a probe for each end takes fewer connections")
	}
}
