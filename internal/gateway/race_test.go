//go:build race

package gateway

// defaultFleetSizes are the fleets over which versions are spread. Larger ones are too slow under
// the race detector; CI runs the test without it too.
var defaultFleetSizes = []int{8, 24}
