package confsync

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"basilrudder/internal/inventory"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/platformapi"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/vtime"
)

const (
	tickEvery     = 100 * time.Millisecond
	peerDelay     = time.Millisecond
	platformDelay = 3 * time.Millisecond
)

// network is a small fleet of cores and one platform in virtual time.
type network struct {
	t testing.TB
	vtime.Loop
	nodes    map[string]*node
	ids      []string
	platform fakePlatform
	// cut reports whether two instances cannot reach each other.
	cut func(a, b string) bool
	// alterPiece may modify a piece in transit.
	alterPiece func(from, to string, part *wire.ConfigPart)
	// delay is the one-way latency between two instances.
	delay func(a, b *node) time.Duration
	// installTime is how long a process is busy with checking a revision.
	installTime time.Duration
	// bytes is the CBOR size of all messages sent between instances.
	bytes int
}

// node is one instance and implements the Effects of its core.
type node struct {
	net        *network
	id         string
	dc         string
	core       *Core
	neighbours []string
	offline    bool // cannot reach the platform
	paused     bool
	gone       bool
	queue      []func()
	installed  []uint64
	events     []Event
	check      func(revision uint64) error
	reachedAt  map[uint64]monotime.Instant
	busyUntil  monotime.Instant
}

func newNetwork(t testing.TB) *network {
	net := &network{t: t, nodes: make(map[string]*node), cut: func(a, b string) bool { return false }}
	net.Run(1)
	net.delay = func(a, b *node) time.Duration { return peerDelay }
	net.platform = fakePlatform{net: net, values: make(map[string][]byte)}
	return net
}

// ring connects n instances over dcs data centres, each with those 1 and 3 positions away
// in both directions, which gives a 4-regular graph. Degree 6 adds those 7 positions
// away.
func (net *network) ring(n, dcs, degree int) {
	for i := range n {
		net.ids = append(net.ids, fmt.Sprintf("i%03d", i))
	}
	steps := []int{1, 3, 7}[:degree/2]
	for i, id := range net.ids {
		set := make(map[string]bool)
		for _, step := range steps {
			set[net.ids[(i+step)%n]] = true
			set[net.ids[(i+n-step%n)%n]] = true
		}
		delete(set, id)
		net.start(id, fmt.Sprintf("dc-%d", i%dcs), slices.Sorted(maps.Keys(set)))
	}
}

func (net *network) start(id, dc string, neighbours []string) *node {
	n := &node{net: net, id: id, dc: dc, neighbours: neighbours, reachedAt: make(map[uint64]monotime.Instant)}
	n.check = func(uint64) error { return nil }
	n.core = New(net.Now(), Config{Self: id, DataCentre: dc, Seed: 7})
	net.nodes[id] = n
	offset := time.Duration(len(net.nodes)%10) * tickEvery / 10
	net.After(offset, n.tick)
	return n
}

func (n *node) tick() {
	if n.gone {
		return
	}
	n.net.After(tickEvery, n.tick)
	if !n.paused {
		n.core.Tick(n.net.Now(), n)
	}
}

// updateLinks passes the live members and open links to every instance.
func (net *network) updateLinks() {
	var live []Member
	for _, id := range net.ids {
		if n := net.nodes[id]; !n.gone {
			live = append(live, Member{ID: id, DataCentre: n.dc})
		}
	}
	for _, id := range net.ids {
		n := net.nodes[id]
		var up []string
		for _, other := range n.neighbours {
			if !net.nodes[other].gone && !net.cut(id, other) {
				up = append(up, other)
			}
		}
		visible := slices.DeleteFunc(slices.Clone(live), func(m Member) bool { return net.cut(id, m.ID) })
		n.deliver(func() { n.core.SetMembers(net.Now(), visible, up, n) })
	}
}

// deliver runs an event, or buffers it while the process is paused.
func (n *node) deliver(run func()) {
	switch {
	case n.gone:
	case n.paused:
		n.queue = append(n.queue, run)
	default:
		run()
	}
}

func (n *node) pause() { n.paused = true }

// resume ends the pause: the timer fires first, then the buffered events are processed.
func (n *node) resume() {
	n.paused = false
	queue := n.queue
	n.queue = nil
	n.core.Tick(n.net.Now(), n)
	for _, run := range queue {
		run()
	}
}

func (n *node) SendPeer(to string, envelope *wire.Envelope) {
	net := n.net
	raw, err := cbor.Marshal(envelope)
	if err != nil {
		net.t.Fatal(err)
	}
	net.bytes += len(raw)
	target := net.nodes[to]
	busy := max(n.busyUntil.Sub(net.Now()), 0)
	net.After(busy+net.delay(n, target), func() {
		target := net.nodes[to]
		if net.cut(n.id, to) {
			return
		}
		target.deliver(func() { target.receive(n.id, raw) })
	})
}

func (n *node) receive(from string, raw []byte) {
	var envelope wire.Envelope
	if err := cbor.Unmarshal(raw, &envelope); err != nil {
		n.net.t.Fatal(err)
	}
	now := n.net.Now()
	switch {
	case envelope.ConfigOffer != nil:
		n.core.OnOffer(now, from, *envelope.ConfigOffer, n)
	case envelope.ConfigWant != nil:
		n.core.OnWant(now, from, *envelope.ConfigWant, n)
	case envelope.ConfigPart != nil:
		if n.net.alterPiece != nil {
			n.net.alterPiece(from, n.id, envelope.ConfigPart)
		}
		n.core.OnPart(now, from, *envelope.ConfigPart, n)
	}
}

func (n *node) Watch(number CallID, revision uint64, instances int, wait time.Duration) {
	n.net.platform.watch(n, revision, wait, func(answer *platformapi.WatchAnswer, err error) {
		n.core.OnWatch(n.net.Now(), number, answer, err, n)
	})
}

func (n *node) FetchManifest(number CallID) {
	n.net.platform.read(n, "manifest", func(data []byte, err error) { n.core.OnManifest(n.net.Now(), number, data, err, n) })
}

func (n *node) FetchChunk(number CallID, key string) {
	n.net.platform.read(n, key, func(data []byte, err error) { n.core.OnChunk(n.net.Now(), number, data, err, n) })
}

func (n *node) FetchInstances(CallID) {}

func (n *node) Install(revision uint64, files []inventory.File) error {
	if err := n.check(revision); err != nil {
		return err
	}
	if len(n.installed) > 0 && revision <= n.installed[len(n.installed)-1] {
		n.net.t.Errorf("%s went from revision %d to %d", n.id, n.installed[len(n.installed)-1], revision)
	}
	n.installed = append(n.installed, revision)
	n.busyUntil = n.net.Now().Add(n.net.installTime)
	n.reachedAt[revision] = n.busyUntil
	return nil
}

func (n *node) Report(e Event) { n.events = append(n.events, e) }

func (n *node) reported(kind EventKind) int {
	count := 0
	for _, e := range n.events {
		if e.Kind == kind {
			count++
		}
	}
	return count
}

// fakePlatform serves values and watches.
type fakePlatform struct {
	net      *network
	revision int
	values   map[string][]byte
	down     bool
	// stale, if set, is the revision in watch answers regardless of the stored one.
	stale   int
	waiting []func()
	calls   int
}

var errDown = errors.New("platform is down")

// publish stores values under their keys together with their manifest.
func (p *fakePlatform) publish(revision int, values map[string]string) {
	manifest := platformapi.Manifest{Revision: revision}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		data := []byte(values[key])
		p.values[key] = data
		manifest.Chunks = append(manifest.Chunks, platformapi.Chunk{Key: key, SHA256: hashOf(data), Bytes: len(data)})
	}
	raw, err := json.Marshal(manifest)
	if err != nil {
		p.net.t.Fatal(err)
	}
	p.values["manifest"] = raw
	p.revision = revision
	waiting := p.waiting
	p.waiting = nil
	for _, answer := range waiting {
		answer()
	}
}

func (p *fakePlatform) answeredRevision() int {
	if p.stale != 0 {
		return p.stale
	}
	return p.revision
}

func (p *fakePlatform) watch(n *node, revision uint64, wait time.Duration, done func(*platformapi.WatchAnswer, error)) {
	p.calls++
	answered := false
	reply := func(answer *platformapi.WatchAnswer, err error) {
		if !answered {
			answered = true
			p.net.After(platformDelay, func() { n.deliver(func() { done(answer, err) }) })
		}
	}
	replyIfNewer := func() {
		if p.down || n.offline {
			reply(nil, errDown)
		} else if uint64(p.answeredRevision()) > revision {
			reply(&platformapi.WatchAnswer{Revision: p.answeredRevision()}, nil)
		}
	}
	p.net.After(platformDelay, replyIfNewer)
	p.waiting = append(p.waiting, replyIfNewer)
	p.net.After(platformDelay+wait, func() { reply(nil, nil) })
}

func (p *fakePlatform) read(n *node, key string, done func([]byte, error)) {
	p.calls++
	p.net.After(2*platformDelay, func() {
		data, ok := p.values[key]
		if p.down || n.offline || !ok {
			n.deliver(func() { done(nil, errDown) })
			return
		}
		n.deliver(func() { done(data, nil) })
	})
}

// wantRevision reports an error for each running instance at a different revision.
func (net *network) wantRevision(revision uint64) {
	net.t.Helper()
	for _, id := range net.ids {
		if n := net.nodes[id]; !n.gone && n.core.Revision() != revision {
			net.t.Errorf("%s is at revision %d, want %d", id, n.core.Revision(), revision)
		}
	}
}
