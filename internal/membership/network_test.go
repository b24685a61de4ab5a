package membership

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/platformapi"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/vtime"
)

const (
	linkDelay     = 2 * time.Millisecond
	linkTimeout   = 3500 * time.Millisecond // of the link layer
	frameOverhead = 4
)

type linkKey struct{ a, b string }

func keyOf(a, b string) linkKey { return linkKey{min(a, b), max(a, b)} }

type link struct {
	receivedA, receivedB monotime.Instant
}

type process struct {
	core     *Core
	paused   bool
	dead     bool
	inbox    []func()
	peers    map[string]bool // with a link
	bytes    int
	frames   int
	restarts int
}

// network runs cores in virtual time. Links open when one side requires them, and close
// when neither does or when they time out. A killed process closes its links at once, a
// lost host or a cut path does not.
type network struct {
	vtime.Loop
	t      testing.TB
	ids    []string
	procs  map[string]*process
	links  map[linkKey]*link
	cut    func(from, to string) bool
	drop   func() bool // reports whether to lose a frame
	listed []string
}

func newNetwork(t testing.TB, n int) *network {
	w := &network{
		t:     t,
		procs: make(map[string]*process), links: make(map[linkKey]*link),
		cut:  func(string, string) bool { return false },
		drop: func() bool { return false },
	}
	w.Run(time.Second)
	for i := range n {
		w.listed = append(w.listed, fmt.Sprintf("dc%d-%03d", i%3+1, i))
	}
	for _, id := range w.listed {
		w.start(id)
	}
	return w
}

func (w *network) start(id string) *process {
	restart := 0
	if old := w.procs[id]; old != nil {
		restart = old.restarts + 1
	} else {
		w.ids = append(w.ids, id)
		slices.Sort(w.ids)
	}
	return w.startWith(id, restart, 1_764_000_000+uint64(restart))
}

func (w *network) startWith(id string, restarts int, epoch uint64) *process {
	self := Member{
		ID: id, Incarnation: fmt.Sprintf("%04x", hash64(id)%65536+uint64(restarts)), DataCentre: id[:3],
		CallerAddress: "10.1.100.100:8080", PeerAddress: id, Epoch: epoch,
	}
	p := &process{core: New(self, nil, 7), restarts: restarts, peers: make(map[string]bool)}
	w.procs[id] = p
	p.core.OnInstanceList(w.Now(), w.list(1, w.listed))
	w.tick(id, p, time.Duration(hash64(id)%uint64(TickInterval)))
	return p
}

func (w *network) list(version int, ids []string) platformapi.InstanceList {
	out := platformapi.InstanceList{Version: version}
	for _, id := range ids {
		out.Instances = append(out.Instances, platformapi.Instance{ID: id, PeerAddress: id, State: platformapi.InstanceStateLive})
	}
	return out
}

func (w *network) tick(id string, p *process, d time.Duration) {
	w.After(d, func() {
		if p.dead || w.procs[id] != p {
			return
		}
		if !p.paused {
			p.core.Tick(w.Now(), &sender{w, id})
			w.connect(id, p)
		}
		w.tick(id, p, TickInterval)
	})
}

type sender struct {
	w  *network
	id string
}

func (s *sender) SendPeer(to string, env *wire.Envelope) { s.w.send(s.id, to, env) }

func (w *network) send(from, to string, env *wire.Envelope) {
	l := w.links[keyOf(from, to)]
	if l == nil {
		return
	}
	data, err := cbor.Marshal(env)
	if err != nil {
		w.t.Fatal(err)
	}
	w.procs[from].bytes += len(data) + frameOverhead
	w.procs[from].frames++
	if w.cut(from, to) || w.drop() {
		return
	}
	p := w.procs[to]
	w.After(linkDelay, func() {
		if w.links[keyOf(from, to)] == l {
			w.deliver(to, p, func() { w.receive(from, to, l, env) })
		}
	})
}

// deliver runs f now, or when a paused process resumes: until then the message stays in
// the socket.
func (w *network) deliver(id string, p *process, f func()) {
	switch {
	case p.dead || w.procs[id] != p:
	case p.paused:
		p.inbox = append(p.inbox, f)
	default:
		f()
	}
}

func (w *network) receive(from, to string, l *link, env *wire.Envelope) {
	if to < from {
		l.receivedA = w.Now()
	} else {
		l.receivedB = w.Now()
	}
	c, eff := w.procs[to].core, &sender{w, to}
	if env.Members != nil {
		c.OnMembers(w.Now(), from, env.Members, eff)
	}
	if env.MemberSync != nil {
		c.OnSync(w.Now(), from, env.MemberSync, eff)
	}
	if env.Ping != nil {
		c.OnPing(w.Now(), from, env.Ping, eff)
	}
	if env.Pong != nil {
		c.OnPong(w.Now(), from, env.Pong, eff)
	}
}

// connect simulates the link layer for one process after its tick.
func (w *network) connect(id string, p *process) {
	required := map[string]bool{}
	for _, target := range p.core.LinkTargets() {
		required[target.ID] = true
		w.dial(id, target.ID)
	}
	for _, other := range p.linked() {
		l := w.links[keyOf(id, other)]
		receivedAt := l.receivedB
		if id < other {
			receivedAt = l.receivedA
		}
		unused := !required[other] && !slices.ContainsFunc(w.procs[other].core.LinkTargets(), func(t Target) bool { return t.ID == id })
		if !unused && !w.cut(other, id) && !w.procs[other].paused && !w.procs[other].dead {
			continue // the link layer's own keep-alive
		}
		if unused || w.Now().Sub(receivedAt) >= linkTimeout {
			w.closeLink(id, other)
		}
	}
}

func (w *network) dial(from, to string) {
	other := w.procs[to]
	if other == nil || other.dead || other.paused || w.cut(from, to) || w.cut(to, from) || w.links[keyOf(from, to)] != nil {
		return
	}
	w.links[keyOf(from, to)] = &link{receivedA: w.Now(), receivedB: w.Now()}
	p := w.procs[from]
	p.peers[to], other.peers[from] = true, true
	w.After(linkDelay, func() {
		w.deliver(from, p, func() { p.core.OnLinkUp(w.Now(), to, &sender{w, from}) })
		w.deliver(to, other, func() { other.core.OnLinkUp(w.Now(), from, &sender{w, to}) })
	})
}

func (w *network) closeLink(a, b string) {
	delete(w.links, keyOf(a, b))
	for _, ends := range [][2]string{{a, b}, {b, a}} {
		p := w.procs[ends[0]]
		delete(p.peers, ends[1])
		w.deliver(ends[0], p, func() { p.core.OnLinkDown(w.Now(), ends[1]) })
	}
}

// until runs in steps until the condition holds and returns the time taken.
func (w *network) until(limit time.Duration, what string, holds func() bool) time.Duration {
	w.t.Helper()
	begin := w.Now()
	for !holds() {
		if w.Now().Sub(begin) >= limit {
			w.t.Fatalf("%s: not within %v", what, limit)
		}
		w.Run(50 * time.Millisecond)
	}
	return w.Now().Sub(begin)
}

// always fails if the condition does not hold at any step within d.
func (w *network) always(d time.Duration, what string, holds func() bool) {
	w.t.Helper()
	for end := w.Now().Add(d); w.Now() < end; w.Run(50 * time.Millisecond) {
		if !holds() {
			w.t.Fatalf("condition violated: %s", what)
		}
	}
}

func (p *process) linked() []string {
	return slices.Sorted(maps.Keys(p.peers))
}

// kill ends a process; its host closes the links.
func (w *network) kill(id string) {
	w.loseHost(id)
	for _, other := range w.procs[id].linked() {
		w.closeLink(id, other)
	}
}

// loseHost ends a process together with its host: nothing closes the links.
func (w *network) loseHost(id string) { w.procs[id].dead = true }

func (w *network) resume(id string) {
	p := w.procs[id]
	p.paused = false
	inbox := p.inbox
	p.inbox = nil
	for _, f := range inbox {
		f()
	}
}

// suspicions counts the suspicions that members raised themselves.
func (w *network) suspicions() (n uint64) {
	for _, p := range w.procs {
		n += p.core.Stats().Suspected
	}
	return n
}

func (w *network) view(id string) *View { return w.procs[id].core.View() }

// running returns the processes that run, in order.
func (w *network) running() []string {
	var out []string
	for _, id := range w.ids {
		if p := w.procs[id]; !p.dead && !p.paused {
			out = append(out, id)
		}
	}
	return out
}

// sees reports whether the observers record exactly the ids as live and alive.
func (w *network) sees(observers, ids []string) bool {
	for _, o := range observers {
		live := w.view(o).Live
		if len(live) != len(ids) {
			return false
		}
		for i, m := range live {
			if m.ID != ids[i] || m.State != Alive || m.Incarnation != w.procs[m.ID].core.self.Incarnation {
				return false
			}
		}
	}
	return true
}

func (w *network) settle() time.Duration {
	w.t.Helper()
	return w.until(30*time.Second, "all processes agree on the members", func() bool {
		return w.sees(w.running(), w.running())
	})
}

func (w *network) traffic() (bytes, frames int) {
	for _, p := range w.procs {
		bytes += p.bytes
		frames += p.frames
	}
	return bytes, frames
}
