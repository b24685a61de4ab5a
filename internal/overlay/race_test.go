//go:build race

package overlay

// largestFleet bounds fleets under the race detector, which finds nothing more
// in a larger one: a Node has no goroutines. CI runs the tests without it too.
const largestFleet = 60

// largeFleet is the size of the fleets to which something happens.
const largeFleet = 40
