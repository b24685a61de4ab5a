//go:build !unix

package descriptors

import "math"

// OfProcess returns the number of descriptors that the process may open.
func OfProcess() int { return math.MaxInt32 }
