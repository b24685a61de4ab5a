//go:build race

package overlay

// largestFleet bounds fleets under the race detector, which finds nothing more in a
// larger one: a Node has no goroutines. CI also runs the tests without it.
const largestFleet = 60

// largeFleet is the size of the fleets in tests that inject faults.
const largeFleet = 40
