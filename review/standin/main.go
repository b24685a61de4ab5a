// Command standin runs the cases of the review: it starts instances and stand-ins for
// servers as processes, is the platform and the clients itself, and judges one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are registered by the files that hold them. Each returns an exit code.
var cases = make(map[string]func(d *deployment, trouble bool) (int, error))

// longest is how long a case may take.
const longest = 115 * time.Second

func main() {
	if len(os.Args) > 2 && os.Args[1] == "server" {
		fmt.Fprintln(os.Stderr, serve(os.Args[2:]))
		os.Exit(failed)
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY RECORD")
		os.Exit(failed)
	}
	d, err := newDeployment(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	end := func(code int, err error) {
		if err != nil {
			d.say("the case could not run: %v", err)
			code = failed
		}
		d.close()
		os.Exit(code)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(longest):
		}
		end(failed, fmt.Errorf("stopped"))
	}()
	end(cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0"))
}
