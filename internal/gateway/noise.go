package gateway

import "time"

const (
	// noisePerInstance is the noise of placement for each instance beyond
	// manyInstances, see placement.Board.SetCostJitter: the more there are, the more of
	// them choose before they hear of each other's choices. Fewer hear in time,
	// and noise costs them 0.005 of worth.
	noisePerInstance = 0.002
	manyInstances    = 16
	// noiseAtStart is the noise of a process that has just started: that of some 70
	// instances. When all instances start together, none knows the others for some 400 ms,
	// and to each of them the same engine looks best. Of 60 instances that did, callers
	// waited 2.4 s for first events that were predicted after 0.2 s.
	noiseAtStart = 0.1
	// startTime is how long that holds: links to all others stand within a second.
	startTime = time.Second
)

// choiceNoise is the noise of placement of an instance by the age of its process and by
// how many instances it knows.
func choiceNoise(age time.Duration, instances int) float64 {
	noise := noisePerInstance * float64(max(0, instances-manyInstances))
	if age < startTime {
		return max(noise, noiseAtStart)
	}
	return noise
}
