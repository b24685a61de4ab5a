package main

import (
	"os"
	"runtime/debug"
)

const (
	memoryLimitVariable = "GOMEMLIMIT"
	// memoryLimit is the default soft memory limit in bytes. Installing a changed
	// inventory of 27,000 customers briefly doubles the live heap, and without a limit the
	// garbage collector would let the heap double again before it runs. The limit makes it
	// run earlier. It is below the 128 MB that an instance may use because it does not
	// count the program's text. An instance whose settings allow it to keep far more
	// answers needs a higher limit in the environment, or it collects garbage constantly.
	memoryLimit = 112_000_000
	// memoryLimitShare of the memory of a machine of known size is the soft limit there: above what
	// requests and the state of the instance hold, and below what the system counts, to which text,
	// stacks and buffers of sockets add.
	memoryLimitShare = 0.65
	bytesPerMB       = 1_000_000
)

// limitMemory sets the soft memory limit of a process that may use so many MB, 0 for unknown, unless
// the operator has set GOMEMLIMIT.
func limitMemory(memoryMB int) {
	if os.Getenv(memoryLimitVariable) != "" {
		return
	}
	limit := int64(memoryLimit)
	if memoryMB > 0 {
		limit = int64(memoryLimitShare * float64(memoryMB) * bytesPerMB)
	}
	debug.SetMemoryLimit(limit)
}
