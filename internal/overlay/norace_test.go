//go:build !race

package overlay

// largestFleet is the size of the target.
const largestFleet = 360

// largeFleet is the size of the fleets to which something happens.
const largeFleet = 95
