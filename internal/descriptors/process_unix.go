//go:build unix

package descriptors

import (
	"math"
	"syscall"
)

// OfProcess returns the number of descriptors that the process may open.
func OfProcess() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}
