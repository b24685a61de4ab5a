package gateway

import "time"

const (
	// jitterPerInstance is the random jitter added to placement costs for each instance
	// beyond instancesWithoutJitter that considers the same server, see placement.Board:
	// the more there are, the more of them choose it before they receive each other's
	// choices. With fewer instances the updates arrive in time, and jitter would cost
	// 0.005 of value.
	jitterPerInstance      = 0.002
	instancesWithoutJitter = 16
	// startupJitter is the jitter of a process that has just started: that of some 70
	// instances. When all instances start together, none has a view of the others for
	// some 400 ms, and the same engine has the lowest cost for each. Without the jitter,
	// callers of 60 instances started together waited 2.4 s for first events predicted
	// after 0.2 s.
	startupJitter = 0.1
	// startupTime is how long startupJitter applies: links to all others are up within a
	// second.
	startupTime = time.Second
)

// placementJitter returns the jitter of placement costs for the age of the process and
// the number of instances expected to consider the same server.
func placementJitter(age time.Duration, instances float64) float64 {
	jitter := jitterPerInstance * max(0, instances-instancesWithoutJitter)
	if age < startupTime {
		return max(jitter, startupJitter)
	}
	return jitter
}

// jitterOf returns placementJitter as a function of the share of the servers that a choice
// considers: of so many instances, that share considers any one of them.
func jitterOf(age time.Duration, instances int) func(share float64) float64 {
	return func(share float64) float64 { return placementJitter(age, share*float64(instances)) }
}
