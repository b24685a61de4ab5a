//go:build race

package membership

// largestFleet bounds fleets under the race detector, which finds nothing more in a
// larger one: a core has no goroutines. CI also runs the tests without it.
const largestFleet = 64
