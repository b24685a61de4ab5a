package replay

import (
	"slices"
	"sort"

	"basilrudder/internal/catalog"
	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/standin/enginemodel"
	"basilrudder/internal/verdict"
)

// Share counts requests and those of them that met their targets.
type Share struct {
	// Requests of the trace.
	Requests int `json:"requests"`
	// OnTime of them met every target of their class.
	OnTime int `json:"on_time"`
	// Late of them were answered whole but missed a target.
	Late int `json:"late"`
	// Refused of them were told that they did not run.
	Refused int `json:"refused"`
	// Failed of them ended in another way.
	Failed int `json:"failed"`
	// Attainment is OnTime over Requests.
	Attainment float64 `json:"attainment"`
}

func (s *Share) add(c *call) {
	s.Requests++
	switch {
	case c.onTime():
		s.OnTime++
	case c.served():
		s.Late++
	case c.err != nil && c.err.Verdict == verdict.NotRun:
		s.Refused++
	default:
		s.Failed++
	}
	s.Attainment = float64(s.OnTime) / float64(s.Requests)
}

// Result is what a replay measured.
type Result struct {
	// Policy that decided.
	Policy string `json:"policy"`
	// Seed of the run.
	Seed uint64 `json:"seed"`
	// Seconds of the trace.
	Seconds float64 `json:"seconds"`
	// Attainment by class.
	Attainment map[string]float64 `json:"attainment"`
	// Classes, Customers, Tiers and Subscriptions count requests; Subscriptions
	// by class/subscription.
	Classes       map[string]*Share `json:"classes"`
	Customers     map[string]*Share `json:"customers"`
	Tiers         map[int]*Share    `json:"tiers"`
	Subscriptions map[string]*Share `json:"subscriptions"`
	// Goodput is the number of whole answers on time per second, of all classes,
	// that ended during the trace; TokensPerS the tokens in them.
	Goodput    float64 `json:"goodput"`
	TokensPerS float64 `json:"tokens_per_s"`
	// WastedWork is the share of the engines' work that nobody received.
	WastedWork float64 `json:"wasted_work"`
	// LateWork is the share of it spent on answers that came late.
	LateWork float64 `json:"late_work"`
	// Violations by promise.
	Violations map[string]int `json:"violations"`
	// Reasons counts the answers that were no success, by reason.
	Reasons map[string]int `json:"reasons"`
}

// promptWork is the work of a prompt token against that of a generated one.
const promptWork = 0.1

func (s *sim) result() *Result {
	r := &Result{
		Policy:        s.cfg.Policy.Name,
		Seed:          s.cfg.Seed,
		Seconds:       s.cfg.Trace.Length.Seconds(),
		Attainment:    make(map[string]float64),
		Classes:       make(map[string]*Share),
		Customers:     make(map[string]*Share),
		Tiers:         make(map[int]*Share),
		Subscriptions: make(map[string]*Share),
		Violations:    make(map[string]int),
		Reasons:       make(map[string]int),
	}
	for _, promise := range Promises {
		r.Violations[promise] = 0
	}
	runs := s.runsOf()
	s.addCalls(r)
	s.addWork(r, runs)
	s.addViolations(r, runs)
	return r
}

func (s *sim) addCalls(r *Result) {
	tokens, answers := 0, 0
	for _, c := range s.calls {
		if c.class == nil {
			continue
		}
		share(r.Classes, c.class.Name).add(c)
		share(r.Customers, c.customer.Name).add(c)
		share(r.Tiers, c.tier).add(c)
		share(r.Subscriptions, c.class.Name+"/"+c.customer.Subscription).add(c)
		if c.err != nil {
			r.Reasons[string(c.err.Reason)]++
		}
		if c.endedAt <= s.end && c.onTime() {
			answers++
			tokens += c.modelTokens()
		}
	}
	for name, sh := range r.Classes {
		r.Attainment[name] = sh.Attainment
	}
	if r.Seconds > 0 {
		r.TokensPerS = float64(tokens) / r.Seconds
		r.Goodput = float64(answers) / r.Seconds
	}
}

func share[K comparable](m map[K]*Share, key K) *Share {
	sh := m[key]
	if sh == nil {
		sh = &Share{}
		m[key] = sh
	}
	return sh
}

func (c *call) modelTokens() int {
	if c.class.Kind != inventory.ClassKindModel {
		return 0
	}
	return c.tokens
}

// addWork splits the engines' work into what callers received and what not.
func (s *sim) addWork(r *Result, runs map[*call][]enginemodel.Run) {
	all, wasted, late := 0.0, 0.0, 0.0
	for _, c := range s.calls {
		if c.class == nil || c.class.Kind != inventory.ClassKindModel {
			continue
		}
		for i, run := range runs[c] {
			work := float64(run.Tokens)
			if run.FirstToken > 0 {
				work += promptWork * float64(run.PromptTokens-run.CachedTokens)
			}
			all += work
			received := c.served() && i == usefulRun(runs[c])
			switch {
			case !received:
				wasted += work
			case !c.onTime():
				late += work
			}
		}
	}
	if all > 0 {
		r.WastedWork = wasted / all
		r.LateWork = late / all
	}
}

// usefulRun is the run whose answer the caller got: a completed one.
func usefulRun(runs []enginemodel.Run) int {
	return slices.IndexFunc(runs, func(run enginemodel.Run) bool { return run.End == enginemodel.Completed })
}

func (s *sim) addViolations(r *Result, runs map[*call][]enginemodel.Run) {
	r.Violations[PromiseTopTierShed] = s.watch.shed
	r.Violations[PromiseStarved] = s.watch.starved(s)
	r.Violations[PromiseWithdrawn] = s.watch.lateWork
	for _, c := range s.calls {
		if c.class == nil {
			continue
		}
		r.addCallViolations(c, runs[c])
	}
}

func (r *Result) addCallViolations(c *call, runs []enginemodel.Run) {
	if !c.ended {
		r.Violations[PromiseUnanswered]++
		return
	}
	if c.wrongAnswer() {
		r.Violations[PromiseWrongAnswer]++
	}
	if c.err != nil && c.err.Verdict == verdict.NotRun && len(runs) > 0 {
		r.Violations[PromiseFalseNotRun]++
	}
	if !c.class.Idempotent && len(runs) > 1 {
		r.Violations[PromiseSecondRun]++
	}
}

// wrongAnswer reports an answer that was called whole and is not, or that has
// tokens of another.
func (c *call) wrongAnswer() bool {
	if c.foreign {
		return true
	}
	return c.err == nil && c.tokens != max(c.request.OutputTokens, 1)
}

// ClassNames returns the classes of the result, highest tier first.
func (r *Result) ClassNames(cat *catalog.Catalog) []string {
	names := make([]string, 0, len(r.Classes))
	for name := range r.Classes {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := cat.Classes[names[i]], cat.Classes[names[j]]
		if a != nil && b != nil && a.Tier != b.Tier {
			return a.Tier < b.Tier
		}
		return names[i] < names[j]
	})
	return names
}
