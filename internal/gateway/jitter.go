package gateway

import "time"

const (
	// jitterPerInstance is the noise of placement for each instance beyond
	// manyInstances, see placement.Board.SetNoise: the more there are, the more of
	// them choose before they hear of each other's choices. Fewer hear in time,
	// and noise costs them 0.005 of worth.
	jitterPerInstance      = 0.002
	instancesWithoutJitter = 16
	// startupJitter is the noise of a process that has just started: that of some 70
	// instances. When all instances start together, none knows the others for some 400 ms,
	// and to each of them the same engine looks best. Of 60 instances that did, callers
	// waited 2.4 s for first events that were predicted after 0.2 s.
	startupJitter = 0.1
	// startupTime is how long that holds: links to all others stand within a second.
	startupTime = time.Second
)

// placementJitter is the noise of placement of an instance by the age of its process and by
// how many instances it knows.
func placementJitter(age time.Duration, instances int) float64 {
	jitter := jitterPerInstance * float64(max(0, instances-instancesWithoutJitter))
	if age < startupTime {
		return max(jitter, startupJitter)
	}
	return jitter
}
