//go:build !race

package gateway

// spreadSizes are the fleets over which versions are spread.
var spreadSizes = []int{8, 60, 100}
