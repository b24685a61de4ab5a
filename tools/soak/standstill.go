package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"basilrudder/platform/standin"
	"basilrudder/platform/wire"
)

const (
	// standstillTimeout is that of the route of streams. An instance concludes from the versions
	// that it has seen for settledAfter.
	standstillTimeout = 2 * time.Second
	settledAfter      = 3*standstillTimeout/2 + time.Second
	// releaseAfter is when the new version joins, from the begin of the standstill on.
	releaseAfter      = 200 * time.Millisecond
	standstillServers = 8
	standstillCallers = 24
)

// standstill stops an instance for a while, in which servers of a new version join and those of
// the old one leave, which serve on. Callers take up their streams at that instance.
type standstill struct {
	lasts time.Duration
	state string // of the old servers' entries; empty if they are removed
}

var standstills = []scenario{
	standstill{500 * time.Millisecond, wire.StateDraining}, standstill{1200 * time.Millisecond, wire.StateDraining},
	standstill{1200 * time.Millisecond, ""}, standstill{2500 * time.Millisecond, wire.StateDraining},
}

// String implements fmt.Stringer.
func (s standstill) String() string {
	if s.state == "" {
		return fmt.Sprintf("%v, entries removed", s.lasts)
	}
	return fmt.Sprintf("%v, %s", s.lasts, s.state)
}

// run implements scenario.
func (s standstill) run(binary, dir string, seed uint64) (*scenarioReport, error) {
	p := newRejoin(binary, seed, massKill{instances: 3}, standstillTimeout)
	var err error
	if p.fleet, err = newFleet(binary, dir, p.instances, standstillServers, noEnds, nil); err != nil {
		return nil, err
	}
	defer p.fleet.close()
	p.fleet.streamTimeout = standstillTimeout
	p.note(p.fleet.publish())
	p.replaceServers(func(bool) (string, bool) { return oldSoftware, true })
	for _, i := range p.fleet.instances {
		if err := p.fleet.start(i); err != nil {
			return nil, err
		}
	}
	if err := p.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(settledAfter)
	return s.report(p, s.play(p)), nil
}

// play stops an instance, releases the new version and has callers take up streams.
func (s standstill) play(p *rejoin) []*caller {
	still, others := p.fleet.instances[0], p.fleet.instances[1:]
	still.signal(syscall.SIGSTOP)
	stoppedAt := time.Now()
	time.Sleep(releaseAfter)
	p.release(s.state)
	var calling sync.WaitGroup
	callers := make([]*caller, standstillCallers)
	for n := range callers {
		c := newCaller(p.fleet, n, p.seed)
		callers[n] = c
		calling.Go(func() {
			defer c.client.CloseIdleConnections()
			for time.Since(stoppedAt) < s.lasts {
				a := c.sendUntil(others[c.rand.IntN(len(others))], "resumable", false, 1+c.rand.IntN(standin.StreamEvents-1))
				if a.stream.events > 0 {
					c.keep(still, &attempt{id: c.newID(), route: a.route, instance: still.name, stream: a.stream})
				}
			}
		})
	}
	time.Sleep(time.Until(stoppedAt.Add(s.lasts)))
	still.signal(syscall.SIGCONT)
	calling.Wait()
	return callers
}

// release starts a server of the new version for each one of the old version, and has those leave.
func (p *rejoin) release(state string) {
	for _, old := range p.fleet.upstreams {
		if old.service != model {
			continue
		}
		fresh := &upstream{service: model, number: len(p.fleet.upstreams), wanted: newSoftware}
		p.note(p.fleet.startUpstream(fresh))
		p.fleet.upstreams = append(p.fleet.upstreams, fresh)
		if state == "" {
			p.fleet.store.DropServer(old.id)
		} else {
			p.note(p.fleet.store.PutServer(old.id, old.entry(state)))
		}
	}
}

func (s standstill) report(p *rejoin, callers []*caller) *scenarioReport {
	out := &scenarioReport{}
	for _, c := range callers {
		out.requests += len(c.attempts)
		for _, one := range c.streams {
			out.concerned++
			if len(one.software) > 1 {
				p.broken("stream %s holds events of two software versions", one.firstTry)
			}
		}
	}
	out.broken = p.breaches
	return out
}
