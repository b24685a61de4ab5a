package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// startMost bounds how long instances take to be ready, also after faults.
	startMost = 30 * time.Second
	pollEach  = 50 * time.Millisecond
	// settle is given to an instance that is ready before all it is asked must be
	// served: the longest wait before a server that could not be reached is tried
	// again is 2 s, and callers use answers of the directory for 1 s.
	settle = 4 * time.Second
	// calmRequests is what each caller then sends.
	calmRequests = 8
	// answerSlack is how much later than its deadline a request may get its
	// answer: the time for the answer to be sent on a busy machine.
	answerSlack = 1500 * time.Millisecond
)

// soak is one run.
type soak struct {
	sizes
	seed    uint64
	binary  string
	verbose bool
	// timing has the time of answers checked too.
	timing bool
	// poisoned has requests sent that crash servers by a part of their prompts.
	poisoned bool
	// ends has instances, servers or both end without notice while answers without a length
	// are under way.
	ends   ends
	poison poison
	fleet  *fleet
	begun  time.Time

	// restoring is held by the fault that has the store come back from a copy.
	restoring sync.Mutex

	mu       sync.Mutex
	breaches []string
}

// broken notes a promise that was not kept.
func (s *soak) broken(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaches = append(s.breaches, fmt.Sprintf(format, args...))
}

// note notes an error of the soak's own steps; they must not fail.
func (s *soak) note(err error) {
	if err != nil {
		s.broken("the soak itself: %v", err)
	}
}

func (s *soak) tell(format string, args ...any) {
	if s.verbose {
		fmt.Fprintf(os.Stderr, "%6.2f %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, args...))
	}
}

// run starts all, disturbs it for a time, and checks what callers saw.
func (s *soak) run(dir string) (*report, error) {
	var err error
	if s.fleet, err = newFleet(s.binary, dir, s.instances, s.servers, s.ends, s.crashHandler()); err != nil {
		return nil, err
	}
	defer s.fleet.close()
	s.begun = time.Now()
	for _, i := range s.fleet.instances {
		if err := s.fleet.start(i); err != nil {
			return nil, err
		}
	}
	if err := s.waitReady(); err != nil {
		return nil, err
	}
	callers := s.disturb()
	s.tell("faults are over")
	if err := s.waitReady(); err != nil {
		s.broken("%v", err)
	} else {
		time.Sleep(settle)
		s.calm(callers)
	}
	s.checkProcesses()
	r := &report{byOutcome: make(map[string]int)}
	s.checkPoison(r)
	for _, c := range callers {
		s.check(c, r)
	}
	if r.mixed > maxMixed {
		s.broken("%d streams hold events of two software versions", r.mixed)
	}
	r.broken = s.breaches
	return r, nil
}

// disturb has callers send requests while faults come, until all is over.
func (s *soak) disturb() []*caller {
	ctx, cancel := context.WithTimeout(context.Background(), s.length)
	defer cancel()
	callers := make([]*caller, s.callers)
	var calling sync.WaitGroup
	for n := range callers {
		callers[n] = newCaller(s.fleet, n, s.seed)
		calling.Go(func() { callers[n].run(ctx) })
	}
	var troubles sync.WaitGroup
	if !s.ends.alone() {
		troubles.Go(func() { s.trouble(ctx, faults, pauseMost, rand.New(rand.NewPCG(s.seed, 0))) })
		troubles.Go(func() { s.trouble(ctx, moreFaults, morePauseMost, rand.New(rand.NewPCG(s.seed, 1))) })
		troubles.Go(func() { s.trouble(ctx, configFaults, configPauseMost, rand.New(rand.NewPCG(s.seed, 2))) })
	}
	if f := s.ends.faults(); len(f) > 0 {
		troubles.Go(func() { s.trouble(ctx, f, endPauseMost, rand.New(rand.NewPCG(s.seed, 3))) })
	}
	if s.poisoned {
		troubles.Go(func() { s.sendPoison(ctx) })
	}
	troubles.Wait()
	calling.Wait()
	return callers
}

// waitReady waits until all instances say that they can serve.
func (s *soak) waitReady() error {
	end := time.Now().Add(startMost)
	for _, i := range s.fleet.instances {
		for !i.ready() {
			if time.Now().After(end) {
				return errors.Errorf("%s is not ready after %v", i.name, startMost)
			}
			time.Sleep(pollEach)
		}
	}
	return nil
}

// calm has each caller send some requests, which must all be served, and asks
// every instance for the newest configuration and for one that is gone.
func (s *soak) calm(all []*caller) {
	var calling sync.WaitGroup
	for _, c := range all {
		calling.Go(func() {
			for n := range calmRequests {
				i := s.fleet.instances[(n+c.number)%len(s.fleet.instances)]
				if a := c.send(i, routes[n%len(routes)], false); !a.served() {
					s.broken("%s on %s at %s after the faults: %s", a.id, a.route, a.instance, a.outcome())
				}
			}
		})
	}
	calling.Wait()
	asking := newCaller(s.fleet, len(all), 0)
	for _, i := range s.fleet.instances {
		for version, want := range map[int64]int{s.fleet.version: http.StatusOK, s.fleet.version - versionStep: http.StatusNotFound} {
			if a := asking.send(i, versionRoute(version), false); a.status != want {
				s.broken("%s answers %d for version %d where %d is in force", i.name, a.status, version, s.fleet.version)
			}
		}
	}
}

// checkProcesses notices instances that ended by themselves.
func (s *soak) checkProcesses() {
	for _, i := range s.fleet.instances {
		select {
		case <-i.process.done:
			s.broken("%s ended by itself: %v", i.name, i.process.cmd.ProcessState)
		default:
		}
	}
}

// notRun are the statuses by which an instance says that a request has not run
// and never will.
var notRun = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// maxMixed is the number of streams that may hold events of two software versions.
const maxMixed = 2

// check compares what a caller was told with what servers ran.
func (s *soak) check(c *caller, r *report) {
	for _, of := range c.streams {
		r.resumed += of.tries
		r.goneOn += of.goneOn
		if len(of.software) > 1 {
			r.mixed++
		}
	}
	for _, a := range c.attempts {
		r.byOutcome[a.outcome()]++
		runs := s.fleet.ledger.Runs(a.id)
		most := 1
		if a.route == "safe" || a.route == "resumable" {
			most = 2 // the attempts that their routes allow
		}
		tell := func(what string) { s.broken("%s on %s at %s: %s; %s", a.id, a.route, a.instance, what, a.outcome()) }
		switch {
		case a.wrong != "":
			tell(a.wrong)
		case len(runs) > most:
			tell(fmt.Sprintf("ran %d times", len(runs)))
		case slices.Contains(notRun, a.status) && len(runs) > 0:
			tell("told not to have run, and ran at " + runs[0].Server)
		case a.served() && len(runs) == 0:
			tell("served without a run")
		case a.unknownKey && (len(runs) > 0 || a.status == http.StatusOK):
			tell("served with a key that nobody has")
		case !a.unknownKey && a.status == http.StatusUnauthorized:
			tell("turned away with a customer's key")
		case s.timing && a.calm && a.took > deadline+answerSlack:
			tell(fmt.Sprintf("no answer for %v", a.took.Round(time.Millisecond)))
		}
		for _, run := range runs {
			if run.Customer != customerName || run.KeyReceived {
				tell(fmt.Sprintf("run for %q, key shown: %t", run.Customer, run.KeyReceived))
			}
		}
	}
}

// outcome names what a caller saw.
func (a *attempt) outcome() string {
	switch {
	case a.served():
		return "served"
	case a.wrong != "":
		return "wrong"
	case errors.Is(a.err, errLeft):
		return "left"
	case a.status == 0:
		return "no answer"
	case a.status == http.StatusOK:
		return "cut"
	}
	return fmt.Sprint(a.status)
}

// report is what a run found.
type report struct {
	byOutcome map[string]int
	// resumed counts tries that resume a stream, goneOn those of them that brought events,
	// and mixed the streams with events of two software versions.
	resumed, goneOn, mixed int
	// arrivals and late are those of requests that crash servers, see poison.
	arrivals, late int
	broken         []string
}

func (r *report) kept() bool { return len(r.broken) == 0 }

// String implements fmt.Stringer.
func (r *report) String() string {
	var out strings.Builder
	for _, outcome := range slices.Sorted(maps.Keys(r.byOutcome)) {
		fmt.Fprintf(&out, "%s %d, ", outcome, r.byOutcome[outcome])
	}
	fmt.Fprintf(&out, "%d of %d streams resumed go on, %d with two versions, ", r.goneOn, r.resumed, r.mixed)
	if r.arrivals > 0 {
		fmt.Fprintf(&out, "%d requests that crash servers arrived, %d late, ", r.arrivals, r.late)
	}
	fmt.Fprintf(&out, "%d promises broken", len(r.broken))
	for _, breach := range r.broken {
		out.WriteString("\n  " + breach)
	}
	return out.String()
}
