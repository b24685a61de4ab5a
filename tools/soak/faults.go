package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"basilrudder/platform/wire"
)

const (
	// pause between the starts of two faults, at most, and between two of moreFaults.
	pauseMost     = 600 * time.Millisecond
	morePauseMost = 2500 * time.Millisecond
	// length of a fault.
	lengthLeast, lengthMost = 100 * time.Millisecond, 2500 * time.Millisecond
	// drainTime is how long a server that leaves goes on serving.
	drainTime = 2 * time.Second
	// lapseTime is how long the entry of a server that is gone stands in a store that is
	// back from a copy.
	lapseTime = 3 * time.Second
	// configPauseMost is pauseMost of configFaults, and manyRoutes how many they add.
	configPauseMost = 4 * time.Second
	manyRoutes      = 1500
	// series is how often a signal or change comes in a row.
	series = 3
)

// fault is one kind of trouble. It returns when it is over.
type fault struct {
	name string
	do   func(s *soak, r *rand.Rand, length time.Duration)
}

var faults = []fault{
	{"freeze", freeze},
	{"kill", kill},
	{"restart", restart},
	{"hangups", hangups},
	{"callers' link", func(s *soak, r *rand.Rand, length time.Duration) {
		i := s.anyInstance(r)
		defer i.disturb()()
		disturbLink(i.callers, r, length)
	}},
	{"store's link", func(s *soak, r *rand.Rand, length time.Duration) { disturbLink(s.anyInstance(r).store, r, length) }},
	{"server's link", func(s *soak, r *rand.Rand, length time.Duration) { disturbLink(s.anyUpstream(r).proxy, r, length) }},
	{"store down", func(s *soak, _ *rand.Rand, length time.Duration) {
		s.fleet.store.SetDown(true)
		time.Sleep(length)
		s.fleet.store.SetDown(false)
	}},
	{"history lost", func(s *soak, _ *rand.Rand, _ time.Duration) { s.fleet.store.Compact() }},
	{"configurations", func(s *soak, _ *rand.Rand, _ time.Duration) {
		for range series {
			s.note(s.fleet.publish())
		}
	}},
	{"server crash", func(s *soak, r *rand.Rand, length time.Duration) {
		s.replace(s.anyUpstream(r), length, func(u *upstream) { _ = u.http.Close() })
	}},
	{"server leaves", func(s *soak, r *rand.Rand, length time.Duration) { s.replace(s.anyUpstream(r), length, s.leave) }},
}

// moreFaults are drawn apart from the others, so that a seed goes on to play those as it
// did.
var moreFaults = []fault{
	{"store restored", restoreStore},
	{"limit", func(s *soak, r *rand.Rand, length time.Duration) {
		server := s.anyUpstream(r).server()
		server.SetLimit([]string{"0", "0.5", "3.25", "40"}[r.IntN(4)])
		time.Sleep(length)
		server.SetLimit("")
	}},
	{"server leaves unheard", func(s *soak, r *rand.Rand, length time.Duration) {
		s.replace(s.anyUpstream(r), length, s.leaveUnheard)
	}},
}

// configFaults are drawn apart from both, for the same reason.
var configFaults = []fault{
	{"many routes", func(s *soak, r *rand.Rand, length time.Duration) {
		s.fleet.setMoreRoutes(manyRoutes)
		for range series {
			s.note(s.fleet.publish())
			time.Sleep(time.Duration(r.Int64N(int64(length))))
		}
		s.fleet.setMoreRoutes(0)
		s.note(s.fleet.publish())
	}},
}

// trouble starts faults of a list by chance, overlapping, until the context ends, and
// returns when all are over.
func (s *soak) trouble(ctx context.Context, faults []fault, pause time.Duration, r *rand.Rand) {
	var running sync.WaitGroup
	for ctx.Err() == nil {
		time.Sleep(time.Duration(r.Int64N(int64(pause))))
		f := faults[r.IntN(len(faults))]
		length := lengthLeast + time.Duration(r.Int64N(int64(lengthMost-lengthLeast)))
		own := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		s.tell("%s for %v", f.name, length.Round(time.Millisecond))
		running.Go(func() { f.do(s, own, length) })
	}
	running.Wait()
}

func (s *soak) anyInstance(r *rand.Rand) *instance {
	return s.fleet.instances[r.IntN(len(s.fleet.instances))]
}

func (s *soak) anyUpstream(r *rand.Rand) *upstream {
	return s.fleet.upstreams[r.IntN(len(s.fleet.upstreams))]
}

func freeze(s *soak, r *rand.Rand, length time.Duration) {
	i := s.anyInstance(r)
	defer i.disturb()()
	i.signal(syscall.SIGSTOP)
	time.Sleep(length)
	i.signal(syscall.SIGCONT)
}

func kill(s *soak, r *rand.Rand, length time.Duration) {
	i := s.anyInstance(r)
	defer i.disturb()()
	i.ending.Lock()
	defer i.ending.Unlock()
	i.signal(syscall.SIGKILL)
	<-i.process.done
	time.Sleep(length)
	s.note(s.fleet.start(i))
}

// restart ends an instance as the platform does: SIGTERM, at times more than
// once, and SIGKILL after the grace.
func restart(s *soak, r *rand.Rand, _ time.Duration) {
	i := s.anyInstance(r)
	defer i.disturb()()
	i.ending.Lock()
	defer i.ending.Unlock()
	for range 1 + r.IntN(series) {
		i.signal(syscall.SIGTERM)
	}
	p := i.process
	if !p.ended(grace + endMargin) {
		// It may be stopped: then it could not end.
		i.signal(syscall.SIGCONT)
		if !p.ended(grace + endMargin) {
			s.broken("%s does not end at a SIGTERM", i.name)
		}
		i.signal(syscall.SIGKILL)
		<-p.done
	}
	if code := p.cmd.ProcessState.ExitCode(); code > 0 {
		s.broken("%s ended with %d at a SIGTERM", i.name, code)
	}
	s.note(s.fleet.start(i))
}

func hangups(s *soak, r *rand.Rand, _ time.Duration) {
	i := s.anyInstance(r)
	for n := range series {
		s.note(s.fleet.writeSettings(i, []string{"info", "debug"}[n%2]))
		i.signal(syscall.SIGHUP)
	}
}

func disturbLink(p *proxy, r *rand.Rand, length time.Duration) {
	p.set(1 + mode(r.IntN(int(modes)-1)))
	time.Sleep(length)
	p.set(passing)
}

// restoreStore has the store come back from a copy. The operator writes again what it had
// written, and each server its entry, at its own pace; those of servers that are gone run
// out.
func restoreStore(s *soak, r *rand.Rand, length time.Duration) {
	s.restoring.Lock()
	defer s.restoring.Unlock()
	s.fleet.store.SaveCopy()
	time.Sleep(length)
	s.fleet.store.SetDown(true)
	time.Sleep(length / 4)
	s.fleet.store.Restore()
	s.fleet.store.SetDown(false)
	for _, u := range s.fleet.upstreams {
		time.Sleep(time.Duration(r.Int64N(int64(drainTime) / int64(len(s.fleet.upstreams)))))
		u.ending.Lock()
		s.note(s.fleet.store.PutServer(u.id, u.entry(wire.StateReady)))
		u.ending.Unlock()
	}
	s.note(s.fleet.publishAgain())
	time.Sleep(lapseTime)
	s.fleet.store.RetainServers(s.fleet.serverIDs())
}

// leaveUnheard has a server leave that can't write it to the store: its answers tell it.
func (s *soak) leaveUnheard(u *upstream) {
	u.server().AnnounceLeaving()
	s.shutDown(u)
}

// leave drains a server, as one that is to be shut down.
func (s *soak) leave(u *upstream) {
	s.note(s.fleet.store.PutServer(u.id, u.entry(wire.StateDraining)))
	s.shutDown(u)
}

func (s *soak) shutDown(u *upstream) {
	time.Sleep(drainTime)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	if err := u.http.Shutdown(ctx); err != nil {
		_ = u.http.Close() // idle connections of instances may outlive it
	}
}

// replace ends a server in some way and starts its next incarnation at the same
// address.
func (s *soak) replace(u *upstream, length time.Duration, end func(*upstream)) {
	u.ending.Lock()
	defer u.ending.Unlock()
	end(u)
	time.Sleep(length)
	s.fleet.store.DropServer(u.id)
	s.note(s.fleet.startUpstream(u))
}
