package sched

import (
	"slices"
	"time"
)

// Choice is a method of choosing an engine.
type Choice uint8

// Methods of choosing an engine.
const (
	// ChoosePredicted takes the engine with the shortest predicted time to the first
	// token.
	ChoosePredicted Choice = iota
	// ChooseRotate takes the engines round-robin.
	ChooseRotate
	// ChooseReported takes the engine that reported the lowest load.
	ChooseReported
)

// Policy switches the scheduling rules of a Group on and off, which allows each to be
// measured alone.
type Policy struct {
	// Name as in `basilrudder replay --policy`.
	Name string
	// Choice is the method of choosing an engine.
	Choice Choice
	// Queue makes requests wait in the group until a slot is free. Without it every
	// request is sent to an engine at once and queues there.
	Queue bool
	// Tiers serves higher tiers first and passes the tier on to the engine as priority.
	Tiers bool
	// Fairness orders the customers of a tier by their weighted usage.
	Fairness bool
	// Urgent is the slack below which a request is served first in its tier.
	Urgent time.Duration
	// EarlyRefusal refuses a request at once if its predicted wait is too long.
	EarlyRefusal bool
	// Floor gives waiting lower tiers their guaranteed share of slots.
	Floor bool
	// Headroom reserves slots for higher tiers.
	Headroom bool
	// Affinity takes into account the prefill time that a cached prefix saves.
	Affinity bool
	// Stragglers gives slow engines less work than their peers.
	Stragglers bool
	// Ejection takes failing engines out of use for a while.
	Ejection bool
	// Learn adapts an engine's number of slots to its token gaps: it is lowered while
	// they miss their target.
	Learn bool
	// Margin is the part of the time budget that admission keeps in reserve.
	Margin float64
	// MaxWaiting is the maximum number of requests that wait in a group.
	MaxWaiting int
}

// Names of the policies.
const (
	NameDefault     = "default"
	NameRoundRobin  = "round-robin"
	NameLeastLoaded = "least-loaded"
)

const (
	// defaultMaxWaiting bounds a group's memory and the length of its queues. A lower
	// bound refuses requests that could have waited.
	defaultMaxWaiting = 8192
	// defaultMargin covers errors of the predicted wait. At 0, any underestimate makes
	// requests admitted at the limit late; a higher margin refuses requests that would be
	// on time.
	defaultMargin = 0.05
	// defaultUrgent is the slack of an urgent request. A shorter one leaves too little
	// time for a slot to come free; a longer one makes more requests urgent, at the
	// expense of the fair shares.
	defaultUrgent = 200 * time.Millisecond
)

// Default returns the policy that the daemon uses.
func Default() Policy {
	return Policy{
		Name:         NameDefault,
		Choice:       ChoosePredicted,
		Queue:        true,
		Tiers:        true,
		Fairness:     true,
		Urgent:       defaultUrgent,
		EarlyRefusal: true,
		Floor:        true,
		Headroom:     true,
		Affinity:     true,
		Stragglers:   true,
		Ejection:     true,
		Learn:        true,
		Margin:       defaultMargin,
		MaxWaiting:   defaultMaxWaiting,
	}
}

// RoundRobin returns a baseline policy: engines in rotation, no queue, no tiers.
func RoundRobin() Policy {
	return Policy{Name: NameRoundRobin, Choice: ChooseRotate, MaxWaiting: defaultMaxWaiting}
}

// LeastLoaded returns a baseline policy: the lowest reported load, no queue, no tiers.
func LeastLoaded() Policy {
	return Policy{Name: NameLeastLoaded, Choice: ChooseReported, MaxWaiting: defaultMaxWaiting}
}

// Policies returns all policies that have a name.
func Policies() []Policy {
	return []Policy{Default(), LeastLoaded(), RoundRobin()}
}

// Named returns the policy with the given name.
func Named(name string) (Policy, bool) {
	all := Policies()
	i := slices.IndexFunc(all, func(p Policy) bool { return p.Name == name })
	if i < 0 {
		return Policy{}, false
	}
	return all[i], true
}

// Timing of the periodic maintenance, and defaults.
const (
	// upkeepInterval is the time between checks for stragglers and for engines that ramp
	// up. A longer one sends a slow engine a full load for longer; each check costs a
	// pass over all engines.
	upkeepInterval = 100 * time.Millisecond
	// defaultLease applies if the inventory sets no lease. A shorter one frees the slots
	// of a holder that is merely late with its renewals and overfills the engines; a
	// longer one blocks the slots of a dead holder for longer.
	defaultLease = 3 * time.Second
	// defaultMaxQueue bounds the wait of a request that has neither a deadline nor a
	// class limit; without a bound it could wait forever.
	defaultMaxQueue = 10 * time.Minute
)

// ruleSwitches turn off one rule of a policy each, by the names that Without accepts.
var ruleSwitches = map[string]func(*Policy){
	"affinity":   func(p *Policy) { p.Affinity = false },
	"ejection":   func(p *Policy) { p.Ejection = false },
	"fairness":   func(p *Policy) { p.Fairness = false },
	"floor":      func(p *Policy) { p.Floor = false },
	"headroom":   func(p *Policy) { p.Headroom = false },
	"learn":      func(p *Policy) { p.Learn = false },
	"refusal":    func(p *Policy) { p.EarlyRefusal = false },
	"stragglers": func(p *Policy) { p.Stragglers = false },
	"tiers":      func(p *Policy) { p.Tiers = false },
	"urgent":     func(p *Policy) { p.Urgent = 0 },
}

// Without returns the policy with one rule switched off, which shows the effect of that
// rule. It returns false for an unknown name.
func (p Policy) Without(rule string) (Policy, bool) {
	off, ok := ruleSwitches[rule]
	if !ok {
		return p, false
	}
	off(&p)
	p.Name += " without " + rule
	return p, true
}
