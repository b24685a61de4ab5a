package main

import (
	"flag"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"basilrudder/platform/standin"
	"basilrudder/platform/wire"
)

var standstillSeeds = flag.Int("standstill.seeds", 1, "Number of seeds of each standstill.")

const (
	// standstillTimeout is that of the route of streams. An instance concludes from the versions
	// that it has seen for settledAfter.
	standstillTimeout = 2 * time.Second
	settledAfter      = 3*standstillTimeout/2 + time.Second
	// releaseAfter is when the new version joins, from the begin of the standstill on.
	releaseAfter      = 200 * time.Millisecond
	standstillCallers = 24
)

// standstill is a play in which an instance stands still while servers of a new version join and
// those of the old one leave, which serve on.
type standstill struct {
	lasts time.Duration
	state string // of the old servers' entries; empty if they are removed
}

// play returns the streams that were taken up at the instance that stood still.
func (s standstill) play(t *testing.T, binary string, seed uint64) (streams []*stream) {
	p := newRejoin(binary, seed, massKill{instances: 3}, standstillTimeout)
	var err error
	if p.fleet, err = newFleet(binary, t.TempDir(), p.instances, 8, noEnds, nil); err != nil {
		t.Fatal(err)
	}
	defer p.fleet.close()
	p.fleet.streamTimeout = standstillTimeout
	p.note(p.fleet.publish())
	p.replaceServers(func(bool) (string, bool) { return oldSoftware, true })
	for _, i := range p.fleet.instances {
		p.note(p.fleet.start(i))
	}
	p.note(p.waitReady())
	time.Sleep(settledAfter)

	still, others := p.fleet.instances[0], p.fleet.instances[1:]
	still.signal(syscall.SIGSTOP)
	stoppedAt := time.Now()
	time.Sleep(releaseAfter)
	p.release(s.state)
	var calling sync.WaitGroup
	callers := make([]*caller, standstillCallers)
	for n := range callers {
		c := newCaller(p.fleet, n, seed)
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
	for _, breach := range p.breaches {
		t.Error(breach)
	}
	for _, c := range callers {
		streams = append(streams, c.streams...)
	}
	return streams
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

// Guards against a stream that goes on at another version at an instance that stood still when the version joined.
func TestAnInstanceThatStoodStillMixesNoVersions(t *testing.T) {
	binary, err := build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range []standstill{
		{500 * time.Millisecond, wire.StateDraining}, {1200 * time.Millisecond, wire.StateDraining},
		{1200 * time.Millisecond, ""}, {2500 * time.Millisecond, wire.StateDraining},
	} {
		for n := range *standstillSeeds {
			t.Run(fmt.Sprintf("%v,%s,%d", s.lasts, s.state, n), func(t *testing.T) {
				t.Parallel()
				streams, mixed := s.play(t, binary, uint64(1+n)), 0
				for _, one := range streams {
					if len(one.software) > 1 {
						mixed++
					}
				}
				t.Logf("%d of %d streams hold two versions", mixed, len(streams))
				if mixed > 0 || len(streams) == 0 {
					t.Error("versions are mixed, or nothing was played")
				}
			})
		}
	}
}
