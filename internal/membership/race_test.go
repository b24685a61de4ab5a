//go:build race

package membership

// largestFleet bounds fleets under the race detector, which finds nothing more
// in a larger one: a core has no goroutines. CI runs the tests without it too.
const largestFleet = 64
