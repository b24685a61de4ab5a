// Package child starts processes that end with the program that started them.
package child

import (
	"os/exec"
	"runtime"
)

// Starter starts processes from one locked thread. Linux sends the death signal
// of a child when the thread that started it ends, not when the process does:
// children started from any goroutine would die at random.
type Starter struct {
	jobs chan func()
}

// NewStarter returns a Starter; Stop ends it.
func NewStarter() *Starter {
	s := &Starter{jobs: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for job := range s.jobs {
			job()
		}
	}()
	return s
}

// Start starts a command, whose SysProcAttr may ask for a death signal.
func (s *Starter) Start(cmd *exec.Cmd) error {
	done := make(chan error)
	s.jobs <- func() { done <- cmd.Start() }
	return <-done
}

// Stop ends the thread, and with it the children that asked for a death signal.
func (s *Starter) Stop() {
	close(s.jobs)
}
