// Command standin2 plays the cases of the review that are scripts. It starts relaying instances and
// servers as processes of their own, is their metadata store and their clients, and judges what these saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts by their names.
var cases = map[string]func(*deployment) (broken bool, err error){}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin2 server FLAGS | CASE BINARY RECORD")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "server" {
		runServer(os.Args[2:])
		return
	}
	play, ok := cases[os.Args[1]]
	if !ok || len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "no such case, or not BINARY and RECORD after its name")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(play, os.Args[2], os.Args[3]))
}

func runCase(play func(*deployment) (bool, error), binary, recordFile string) int {
	d, err := newDeployment(binary, recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	defer d.close()
	go d.closeOnSignal()
	broken, err := play(d)
	switch {
	case err != nil:
		d.record.printf("not run: %v", err)
		return exitNotRun
	case broken:
		d.record.printf("result: the rule was broken")
		return exitBroken
	default:
		d.record.printf("result: the rule held")
		return exitHeld
	}
}

// closeOnSignal ends the processes of the case if it is interrupted.
func (d *deployment) closeOnSignal() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	<-interrupted
	d.close()
	os.Exit(exitNotRun)
}
