//go:build !race

package overlay

// largestFleet is the target size of a fleet.
const largestFleet = 360

// largeFleet is the size of the fleets in tests that inject faults.
const largeFleet = 95
