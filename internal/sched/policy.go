package sched

import (
	"slices"
	"time"
)

// Choice is how an engine is chosen.
type Choice uint8

// Ways to choose an engine.
const (
	// ChoosePredicted takes the least predicted time to the first token.
	ChoosePredicted Choice = iota
	// ChooseRotate takes the engines in turn.
	ChooseRotate
	// ChooseReported takes the least load that engines reported.
	ChooseReported
)

// Policy switches the rules of a Group, so that each can be measured alone.
type Policy struct {
	// Name as in `basilrudder replay --policy`.
	Name string
	// Choice of an engine.
	Choice Choice
	// Queue keeps requests waiting until a slot is free. Without it every
	// request goes to an engine at once and queues there.
	Queue bool
	// Tiers serves higher tiers first and passes the tier on to the engine.
	Tiers bool
	// Fairness orders customers of a tier by what they used.
	Fairness bool
	// Urgent is the time to spare below which a request goes first in its tier.
	Urgent time.Duration
	// EarlyRefusal refuses a request whose predicted wait is too long.
	EarlyRefusal bool
	// Floor gives waiting lower tiers their floor share.
	Floor bool
	// Headroom keeps slots free for higher tiers.
	Headroom bool
	// Affinity counts the prefill that a cached prefix saves.
	Affinity bool
	// Stragglers get less work than their peers.
	Stragglers bool
	// Ejection takes engines that fail out of use for a while.
	Ejection bool
	// Learn lowers an engine's slots when its token gaps miss their target.
	Learn bool
	// Margin is the part of the time budget that admission leaves unplanned.
	Margin float64
	// MaxWaiting bounds the requests that wait in a group.
	MaxWaiting int
}

// Names of the policies.
const (
	NameDefault     = "default"
	NameRoundRobin  = "round-robin"
	NameLeastLoaded = "least-loaded"
)

const (
	defaultMaxWaiting = 8192
	defaultMargin     = 0.05
	defaultUrgent     = 200 * time.Millisecond
)

// Default returns the product's policy.
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

// RoundRobin returns a baseline: engines in turn, no queue, no tiers.
func RoundRobin() Policy {
	return Policy{Name: NameRoundRobin, Choice: ChooseRotate, MaxWaiting: defaultMaxWaiting}
}

// LeastLoaded returns a baseline: the least reported load, no queue, no tiers.
func LeastLoaded() Policy {
	return Policy{Name: NameLeastLoaded, Choice: ChooseReported, MaxWaiting: defaultMaxWaiting}
}

// Policies returns the named policies.
func Policies() []Policy {
	return []Policy{Default(), LeastLoaded(), RoundRobin()}
}

// Named returns the policy of a name.
func Named(name string) (Policy, bool) {
	all := Policies()
	i := slices.IndexFunc(all, func(p Policy) bool { return p.Name == name })
	if i < 0 {
		return Policy{}, false
	}
	return all[i], true
}

// Timing of the group's upkeep.
const (
	// upkeepInterval is how often stragglers and ramps are looked at.
	upkeepInterval = 100 * time.Millisecond
	// defaultLease applies when the rules give none.
	defaultLease = 3 * time.Second
	// defaultMaxQueue applies when neither a deadline nor a class bound does.
	defaultMaxQueue = 10 * time.Minute
)

// ruleSwitches are the switches of a policy, by the names that Without takes.
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

// Without returns the policy with one rule switched off, to measure the rule. It
// returns false for an unknown name.
func (p Policy) Without(rule string) (Policy, bool) {
	off, ok := ruleSwitches[rule]
	if !ok {
		return p, false
	}
	off(&p)
	p.Name += " without " + rule
	return p, true
}
