package main

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/verdict"
	"basilrudder/platform/standin"
)

const (
	// oldSoftware and newSoftware are the versions of a massKill.
	oldSoftware, newSoftware = "v1", "v2"
	// massKillAt is when instances are killed, from the first stream on.
	massKillAt = 2 * time.Second
	// beginAfterKill is how long callers begin streams after the kill.
	beginAfterKill = 3 * time.Second
	// fromTheStart is when servers are of the new version from the start on, and never when
	// they stay at the old one.
	fromTheStart, never = -time.Hour, time.Hour
	// rejoinServers is the number of servers, of which every other one makes streams.
	rejoinServers = 12
	// takeUpPause is the longest pause before a caller tries again.
	takeUpPause = 500 * time.Millisecond
	// retiredRuns is how long a server goes on after its entry was replaced.
	retiredRuns = time.Second
	// lifetimePerTimeout is how long callers take up a stream, as a multiple of its route's
	// timeout.
	lifetimePerTimeout = 1.5
)

// massKill ends all instances at once, but for some survivors, and starts as many again, while
// servers of a new version replace those of an old one.
type massKill struct {
	name                 string
	instances, survivors int
	down                 time.Duration // from the kill to the first start
	between              time.Duration // starts
	// released is when half of the servers are replaced by those of the new version, from the
	// kill on, and retired when the others are.
	released, retired time.Duration
	// store disturbs the store from the kill on; nil if it is sound.
	store func(f *fleet)
}

var massKills = []massKill{
	{"the old version left just before", 6, 0, time.Second, 0, fromTheStart, -400 * time.Millisecond, nil},
	{"both versions serve", 8, 0, 1500 * time.Millisecond, 0, fromTheStart, never, nil},
	{"the old version leaves meanwhile", 6, 0, time.Second, 0, fromTheStart, 500 * time.Millisecond, nil},
	{"the old version leaves just after", 8, 0, time.Second, 0, fromTheStart, 1500 * time.Millisecond, nil},
	{"the new version comes just before", 6, 0, time.Second, 0, -300 * time.Millisecond, 500 * time.Millisecond, nil},
	{"instances start one after the other", 8, 0, 500 * time.Millisecond, 400 * time.Millisecond, fromTheStart, 300 * time.Millisecond, nil},
	{"half survive", 8, 4, time.Second, 200 * time.Millisecond, fromTheStart, 500 * time.Millisecond, nil},
	{"one survives", 6, 1, time.Second, 200 * time.Millisecond, fromTheStart, -400 * time.Millisecond, nil},
	{"the store is slow", 8, 0, time.Second, 0, fromTheStart, 500 * time.Millisecond, slowStore},
	{"the store is silent to half", 8, 0, time.Second, 0, fromTheStart, 1500 * time.Millisecond, silentStore},
	{"the store is down, half survive", 8, 4, time.Second, 0, fromTheStart, 200 * time.Millisecond, downStore},
	{"one version serves", 6, 0, time.Second, 0, never, never, nil},
}

// slowStore delays each piece of the store's answers.
func slowStore(f *fleet) {
	for _, i := range f.instances {
		i.store.set(delaying)
	}
}

// silentStore keeps the store's answers from half of the instances for a while.
func silentStore(f *fleet) {
	half := f.instances[:len(f.instances)/2]
	for _, i := range half {
		i.store.set(silent)
	}
	time.Sleep(lengthMost)
	for _, i := range half {
		i.store.set(passing)
	}
}

// downStore takes the store down for a while.
func downStore(f *fleet) {
	f.store.SetDown(true)
	time.Sleep(lengthMost)
	f.store.SetDown(false)
}

// takenUp is a stream and how its caller fared.
type takenUp struct {
	*stream
	begun time.Time
	// tries took it up after the kill; goneOn of them brought events, unknown were refused as
	// nobody knew its version, and refused for another reason.
	tries, goneOn, unknown, refused int
}

// rejoinReport counts the streams of a massKill.
type rejoinReport struct {
	// before are the streams that began before the kill and were taken up after it, and
	// after those that began after it.
	before, after streamCounts
	broken        []string
}

type streamCounts struct {
	streams, finished, mixed        int
	tries, goneOn, unknown, refused int // after the kill
}

func (c *streamCounts) add(s *takenUp) {
	c.streams++
	if s.events == standin.StreamEvents {
		c.finished++
	}
	if len(s.software) > 1 {
		c.mixed++
	}
	c.tries += s.tries
	c.goneOn += s.goneOn
	c.unknown += s.unknown
	c.refused += s.refused
}

// String implements fmt.Stringer.
func (c streamCounts) String() string {
	return fmt.Sprintf("%d streams (%d finished, %d with two versions), taken up %d times (%d go on, %d refused as unknown, %d otherwise)",
		c.streams, c.finished, c.mixed, c.tries, c.goneOn, c.unknown, c.refused)
}

// String implements fmt.Stringer.
func (r *rejoinReport) String() string {
	out := fmt.Sprintf("before the kill: %v; after it: %v; %d promises broken", r.before, r.after, len(r.broken))
	for _, breach := range r.broken {
		out += "\n  " + breach
	}
	return out
}

func (r *rejoinReport) kept() bool { return len(r.broken) == 0 }

// rejoin is a play of a massKill.
type rejoin struct {
	*soak
	kill   massKill
	random *rand.Rand
	// timeout of the route of streams.
	timeout time.Duration
	// Processes are killed at killedAt, and have ended by endedAt.
	killedAt, endedAt time.Time

	mu      sync.Mutex
	streams []*takenUp
}

// newRejoin prepares a play whose callers take up streams for lifetimePerTimeout times a
// timeout.
func newRejoin(binary string, seed uint64, k massKill, timeout time.Duration) *rejoin {
	const callersOfKill = 120
	return &rejoin{
		soak: &soak{
			sizes: sizes{instances: k.instances, servers: rejoinServers, callers: callersOfKill}, seed: seed, binary: binary,
		},
		kill: k, random: rand.New(rand.NewPCG(seed, 0)), timeout: timeout,
	}
}

// massKillTimeout is the timeout of the route of streams of plays by hand.
const massKillTimeout = 6 * time.Second

// runMassKills plays each massKill with the seeds.
func (o *options) runMassKills() error {
	failed := 0
	for n := range o.Runs {
		for k := range massKills {
			p := newRejoin(o.Binary, o.Seed+uint64(n), massKills[k], massKillTimeout)
			p.verbose = o.Verbose
			r, err := inDirectory(filepath.Join(o.Logs, fmt.Sprintf("kill-%d-seed-%d", k, p.seed)), p.run)
			if err != nil {
				return errors.Wrapf(err, "%s, seed %d", massKills[k].name, p.seed)
			}
			fmt.Printf("%s, seed %d: %s\n", massKills[k].name, p.seed, r)
			if len(r.broken) > 0 {
				failed++
			}
		}
	}
	if failed > 0 {
		return errors.Wrapf(errBroken, "%d of %d plays", failed, o.Runs*len(massKills))
	}
	return nil
}

// run starts all, kills instances, and counts the streams that callers take up.
func (p *rejoin) run(dir string) (*rejoinReport, error) {
	var err error
	if p.fleet, err = newFleet(p.binary, dir, p.instances, p.servers, noEnds, nil); err != nil {
		return nil, err
	}
	defer p.fleet.close()
	p.fleet.streamTimeout = p.timeout
	if err := p.fleet.publish(); err != nil {
		return nil, err
	}
	p.replaceServers(func(half bool) (string, bool) {
		if half && p.kill.released == fromTheStart {
			return newSoftware, true
		}
		return oldSoftware, true
	})
	for _, i := range p.fleet.instances {
		if err := p.fleet.start(i); err != nil {
			return nil, err
		}
	}
	if err := p.waitReady(); err != nil {
		return nil, err
	}
	return p.report(p.play()), nil
}

// play runs the callers and what happens around the kill, until all streams are over.
func (p *rejoin) play() []*caller {
	p.begun = time.Now()
	p.killedAt = p.begun.Add(massKillAt)
	var tasks sync.WaitGroup
	at := func(after time.Duration, do func()) {
		if after == fromTheStart || after == never {
			return
		}
		tasks.Go(func() {
			time.Sleep(time.Until(p.killedAt.Add(after)))
			do()
		})
	}
	callers := make([]*caller, p.callers)
	for n := range callers {
		callers[n] = newCaller(p.fleet, n, p.seed)
		tasks.Go(func() { p.call(callers[n]) })
	}
	at(p.kill.released, func() { p.replaceServers(func(half bool) (string, bool) { return newSoftware, half }) })
	at(p.kill.retired, func() { p.replaceServers(func(half bool) (string, bool) { return newSoftware, !half }) })
	at(0, p.killInstances)
	if p.kill.store != nil {
		at(0, func() { p.kill.store(p.fleet) })
	}
	tasks.Wait()
	return callers
}

// replaceServers replaces servers of streams at once, as choose says of each half of them.
func (p *rejoin) replaceServers(choose func(half bool) (software string, replace bool)) {
	for n, u := range p.fleet.upstreams {
		if software, replace := choose(n < len(p.fleet.upstreams)/2); u.service == model && replace {
			u.wanted = software
			was := u.http
			p.fleet.store.DropServer(u.id)
			p.note(p.fleet.startUpstream(u))
			time.AfterFunc(retiredRuns, func() { _ = was.Close() }) // its streams have ended or are cut
		}
	}
}

// killInstances kills all but the survivors, and starts them again.
func (p *rejoin) killInstances() {
	order := p.random.Perm(len(p.fleet.instances))[p.kill.survivors:]
	for _, n := range order {
		p.fleet.instances[n].signal(syscall.SIGKILL)
	}
	for _, n := range order {
		<-p.fleet.instances[n].process.done
	}
	p.endedAt = time.Now()
	p.tell("%d instances are killed", len(order))
	time.Sleep(p.kill.down)
	for _, n := range order {
		p.note(p.fleet.start(p.fleet.instances[n]))
		time.Sleep(p.kill.between)
	}
}

// call has a caller begin streams and take each up until it is whole or too old.
func (p *rejoin) call(c *caller) {
	defer c.client.CloseIdleConnections()
	time.Sleep(c.pause(massKillAt))
	if c.number%2 == 1 {
		time.Sleep(time.Until(p.killedAt)) // some of the streams begin after the kill
	}
	for time.Since(p.killedAt) < beginAfterKill {
		i := c.choose()
		if i == nil {
			time.Sleep(c.pause(takeUpPause))
			continue
		}
		begun := time.Now()
		// Callers leave, so that streams of any age are open when instances are killed.
		a := c.sendUntil(i, "resumable", false, 1+c.rand.IntN(standin.StreamEvents-1))
		if a.stream.events > 0 {
			p.takeUp(c, a, begun)
		}
	}
}

// takeUp has a caller take up a stream until it is whole or too old.
func (p *rejoin) takeUp(c *caller, a *attempt, begun time.Time) {
	s := &takenUp{stream: a.stream, begun: begun}
	p.mu.Lock()
	p.streams = append(p.streams, s)
	p.mu.Unlock()
	lifetime := time.Duration(lifetimePerTimeout * float64(p.timeout))
	for time.Sleep(c.pause(lifetime / 2)); s.events < standin.StreamEvents && time.Since(begun) < lifetime; time.Sleep(c.pause(takeUpPause)) {
		i := c.choose()
		if i == nil {
			continue
		}
		tookUp, before := time.Now(), s.events
		next := c.keep(i, &attempt{id: c.newID(), route: a.route, instance: i.name, stream: a.stream})
		if tookUp.Before(p.killedAt) {
			continue
		}
		s.tries++
		s.goneOn += min(1, s.events-before)
		switch {
		case strings.Contains(next.refusal, string(verdict.ReasonUnknownStream)):
			s.unknown++
		case next.refusal != "":
			s.refused++
		}
	}
}

func (c *caller) pause(most time.Duration) time.Duration {
	return time.Duration(c.rand.Int64N(int64(most)))
}

// report counts the streams and checks what callers were told.
func (p *rejoin) report(callers []*caller) *rejoinReport {
	out, mixed := &rejoinReport{}, 0
	for _, s := range p.streams {
		if len(s.software) > 1 {
			mixed++
		}
		switch {
		case s.begun.After(p.endedAt):
			out.after.add(s)
		case s.tries > 0:
			out.before.add(s)
		}
		if s.unknown > 0 && s.begun.After(p.killedAt) {
			p.tell("%s, begun %v after the kill, refused as unknown %d times, %d events",
				s.firstTry, s.begun.Sub(p.killedAt), s.unknown, s.events)
		}
	}
	p.checkProcesses()
	for _, c := range callers {
		p.check(c, &report{byOutcome: make(map[string]int)})
	}
	if mixed > 0 {
		p.broken("%d streams hold events of two software versions", mixed)
	}
	out.broken = p.breaches
	return out
}
