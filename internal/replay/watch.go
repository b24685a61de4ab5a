package replay

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/node"
	"basilrudder/internal/standin/enginemodel"
	"basilrudder/internal/verdict"
)

// Promises that a replay counts violations of, by name.
const (
	PromiseTopTierShed = "top_tier_shed"
	PromiseStarved     = "starved_class"
	PromiseWrongAnswer = "wrong_or_cut_answer"
	PromiseFalseNotRun = "false_not_run"
	PromiseSecondRun   = "second_run"
	PromiseWithdrawn   = "work_on_withdrawn_server"
	PromiseUnanswered  = "unanswered"
)

// Promises lists them in the order of reports.
var Promises = []string{
	PromiseTopTierShed, PromiseStarved, PromiseWrongAnswer, PromiseFalseNotRun,
	PromiseSecondRun, PromiseWithdrawn, PromiseUnanswered,
}

const (
	// withdrawnGrace is the time in which a withdrawal must be in force.
	withdrawnGrace = 3 * time.Second
	// starvedWindow is the time in which a class that asks must be served, and
	// starvedRequests how many requests make it one that asks.
	starvedWindow   = time.Minute
	starvedRequests = 5
)

// watcher looks at a replay from outside and counts broken promises.
type watcher struct {
	// lowStarts are the last starts below the top tier, by group.
	lowStarts map[string][]lowStart
	withdrawn map[string]monotime.Instant
	shed      int
	lateWork  int
	minutes   map[minuteKey]*minuteCount
}

type lowStart struct {
	at   monotime.Instant
	from *instance
}

type minuteKey struct {
	class  string
	minute int
}

type minuteCount struct {
	asked, served int
}

func (w *watcher) init() {
	w.lowStarts = make(map[string][]lowStart)
	w.withdrawn = make(map[string]monotime.Instant)
	w.minutes = make(map[minuteKey]*minuteCount)
}

func (w *watcher) minute(s *sim, c *call) *minuteCount {
	key := minuteKey{class: c.class.Name, minute: int(s.loop.Now().Sub(s.start) / starvedWindow)}
	m := w.minutes[key]
	if m == nil {
		m = &minuteCount{}
		w.minutes[key] = m
	}
	return m
}

func (w *watcher) started(s *sim, p *process, c *call, a node.Attempt) {
	if !a.Resume {
		w.minute(s, c).served++
	}
	if c.tier == 0 {
		return
	}
	group := a.Engine.Server.Group.Name
	starts := append(w.lowStarts[group], lowStart{at: s.loop.Now(), from: p.inst})
	if len(starts) > lowStartsKept {
		starts = append(starts[:0], starts[lowStartsKept/2:]...)
	}
	w.lowStarts[group] = starts
}

const lowStartsKept = 4096

// ended looks at a call that has its final answer. A request of the top tier
// that was turned away for lack of room, while a lower one was started in a
// group that it asked, was shed to make room. Starts from the other side of a
// partition do not count: who turned it away knew nothing of them.
func (w *watcher) ended(s *sim, c *call) {
	if c.err == nil || c.tier != 0 || c.err.Verdict != verdict.NotRun {
		return
	}
	switch c.err.Reason {
	case verdict.ReasonOverloaded, verdict.ReasonDeadline, verdict.ReasonNoServer:
	default:
		return
	}
	if slices.ContainsFunc(c.waits, func(asked wait) bool { return w.madeRoom(s, c, asked) }) {
		w.shed++
	}
}

func (w *watcher) madeRoom(s *sim, c *call, asked wait) bool {
	return slices.ContainsFunc(w.lowStarts[asked.group], func(start lowStart) bool {
		return start.at > asked.from && start.at < asked.to && !s.fleet.parted(start.from, c.process.inst)
	})
}

func (w *watcher) published(s *sim) {
	for _, server := range s.inv.Servers {
		_, known := w.withdrawn[server.Name]
		switch {
		case server.Withdrawn && !known:
			w.withdrawn[server.Name] = s.loop.Now()
		case !server.Withdrawn:
			delete(w.withdrawn, server.Name)
		}
	}
}

// accepted looks at a request that an engine took.
func (w *watcher) accepted(s *sim, u *upstream) {
	since, withdrawn := w.withdrawn[u.spec.Server.Spec.Name]
	if withdrawn && s.loop.Now().Sub(since) > withdrawnGrace {
		w.lateWork++
	}
}

// starved counts the minutes in which a class asked and none of its requests
// was started.
func (w *watcher) starved(s *sim) int {
	count := 0
	for key, m := range w.minutes {
		if monotime.Instant(time.Duration(key.minute+1)*starvedWindow) > s.end-s.start {
			continue
		}
		if m.asked >= starvedRequests && m.served == 0 {
			count++
		}
	}
	return count
}

// runsOf sorts the engines' own records of what they ran by call.
func (s *sim) runsOf() map[*call][]enginemodel.Run {
	out := make(map[*call][]enginemodel.Run)
	for _, id := range s.engineIDs {
		for _, run := range s.engines[id].model.Runs() {
			if c := s.callByID[requestOf(run.ID)]; c != nil {
				out[c] = append(out[c], run)
			}
		}
	}
	return out
}

// requestOf strips the number of the attempt.
func requestOf(attemptID string) string {
	for i := len(attemptID) - 1; i >= 0; i-- {
		if attemptID[i] == '.' {
			return attemptID[:i]
		}
	}
	return attemptID
}
