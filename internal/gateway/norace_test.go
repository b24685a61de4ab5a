//go:build !race

package gateway

// defaultFleetSizes are the sizes of fleet with which tests of any fleet size run.
var defaultFleetSizes = []int{8, 60, 100}
