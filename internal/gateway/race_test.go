//go:build race

package gateway

// defaultFleetSizes are the sizes of fleet with which tests of any fleet size run. Larger
// ones are too slow under the race detector; CI runs the tests without it too.
var defaultFleetSizes = []int{8, 24}
