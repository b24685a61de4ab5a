//go:build !race

package gateway

// defaultFleetSizes are the fleets over which versions are spread.
var defaultFleetSizes = []int{8, 60, 100}
