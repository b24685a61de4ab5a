// Package hangups receives SIGHUP from the start of the process on. A SIGHUP that nobody
// has asked for ends the process, and the other packages take milliseconds to initialize.
// This one needs nothing but os/signal, so it is initialized before most of them.
package hangups

import (
	"os"
	"os/signal"
	"syscall"
)

// Received holds a SIGHUP that was received and not yet handled.
var Received = receive()

func receive() <-chan os.Signal {
	out := make(chan os.Signal, 1)
	signal.Notify(out, syscall.SIGHUP)
	return out
}

// Stop restores the default, by which a SIGHUP ends the process.
func Stop() { signal.Reset(syscall.SIGHUP) }
