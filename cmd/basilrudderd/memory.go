package main

import (
	"os"
	"runtime/debug"
)

const (
	memoryLimitVariable = "GOMEMLIMIT"
	// memoryLimit is in bytes. Putting a changed inventory of 27,000 customers
	// in force doubles the live heap for a moment, and the collector would let
	// it double again before it runs. The limit makes it run earlier instead,
	// and leaves room below the 128 MB an instance may take for what the limit
	// does not count: the program's text. It is soft: an instance whose settings
	// let it keep far more answers needs a higher one in the environment.
	memoryLimit = 112_000_000
)

// limitMemory bounds the heap unless the operator has set a bound.
func limitMemory() {
	if os.Getenv(memoryLimitVariable) == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
