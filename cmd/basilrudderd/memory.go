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
)

// limitMemory sets the soft memory limit unless the operator has set GOMEMLIMIT.
func limitMemory() {
	if os.Getenv(memoryLimitVariable) == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
