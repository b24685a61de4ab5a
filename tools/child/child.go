// Package child starts processes that end with the program that started them.
package child

import (
	"os/exec"
	"runtime"
	"syscall"
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

// Start starts a command in a process group of its own, so that a signal to this
// program's group does not reach it, and to be killed when this program ends.
func (s *Starter) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	done := make(chan error)
	s.jobs <- func() { done <- cmd.Start() }
	return <-done
}

// Stop ends the thread, and with it the children.
func (s *Starter) Stop() {
	close(s.jobs)
}
