//go:build !race

package membership

// largestFleet is the target size of a fleet.
const largestFleet = 360
