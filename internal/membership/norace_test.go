//go:build !race

package membership

// largestFleet is the size of the target.
const largestFleet = 360
