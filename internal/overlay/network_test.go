package overlay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/vtime"
)

// Timing of the simulated network.
const (
	delayInDataCentre       = 300 * time.Microsecond
	delayBetweenDataCentres = 1200 * time.Microsecond
	dialTime                = 3 * time.Millisecond
	dialTimeout             = 300 * time.Millisecond
	dialInterval            = 200 * time.Millisecond
	linkTimeout             = 700 * time.Millisecond
	tickInterval            = 100 * time.Millisecond
	maxClockSkew            = int64(time.Hour)
)

// network simulates instances, the links between them and faults.
type network struct {
	t      *testing.T
	loop   vtime.Loop
	random *rand.Rand
	nodes  map[string]*instance
	order  []string
	seeds  []string
	// cut reports whether messages from one instance to another are lost.
	cut func(from, to string) bool
	// slow is the additional delay of a message.
	slow func(from, to string) time.Duration
	// deliveredAt holds when each instance received each run.
	deliveredAt map[runKey]map[string]monotime.Instant
	begunAt     map[runKey]monotime.Instant
	// memberEntries counts the members in all messages.
	memberEntries int
}

type runKey struct {
	instance string
	number   int
}

type instance struct {
	net            *network
	member         wire.RelayMember
	node           *Node
	skew           int64 // of its monotonic clock
	up             bool
	frozen         bool
	links          map[string]*linkEnd
	dialing        map[string]bool
	flushScheduled bool
	refreshDue     bool // a refresh is due
	pending        wire.RelayNews
	since          monotime.Instant
	runs           int
	flushes        int
	// messages counts messages sent and received; recordedRuns holds the runs of others,
	// and its own, that are recorded as running.
	messages     int
	recordedRuns map[runKey]bool
	lost         map[string]int
}

// linkEnd is one end of a link.
type linkEnd struct {
	to          string
	dialer      bool
	open        bool
	lastArrival monotime.Instant // of the last message sent, which later ones must not bypass
	receivedAt  monotime.Instant
}

func newNetwork(t *testing.T, dataCentres, size int, strong func(n int) bool) *network {
	net := &network{
		t: t, random: rand.New(rand.NewPCG(1, 2)), nodes: make(map[string]*instance),
		cut: func(string, string) bool { return false }, slow: func(string, string) time.Duration { return 0 },
		deliveredAt: make(map[runKey]map[string]monotime.Instant), begunAt: make(map[runKey]monotime.Instant),
	}
	net.loop.Run(time.Hour)
	for n := range size {
		id := fmt.Sprintf("instance-%03d", n)
		capacity := 200
		if strong(n) {
			capacity = 800
		}
		net.nodes[id] = &instance{net: net, member: wire.RelayMember{
			ID: id, DataCentre: fmt.Sprint("dc-", n%dataCentres), PeerAddress: id, CallerAddress: id, Capacity: capacity,
		}}
		net.order = append(net.order, id)
	}
	net.seeds = []string{net.order[0], net.order[1], net.order[2]}
	return net
}

func (net *network) now() monotime.Instant { return net.loop.Now() }

// start starts the process of an instance with a new incarnation.
func (i *instance) start() {
	i.runs += 1000
	i.member.Incarnation = fmt.Sprintf("%s/%d", i.member.ID, i.runs)
	i.skew = i.net.random.Int64N(maxClockSkew)
	i.node = New(i.member, i.net.seeds, i.clock())
	i.up, i.frozen, i.flushScheduled, i.refreshDue = true, false, false, false
	i.pending, i.since = wire.RelayNews{}, 0
	i.links, i.dialing = make(map[string]*linkEnd), make(map[string]bool)
	i.recordedRuns, i.lost = make(map[runKey]bool), make(map[string]int)
	incarnation := i.member.Incarnation
	i.every(tickInterval, incarnation, i.tick)
}

// every calls do every d while the process runs and is not frozen.
func (i *instance) every(d time.Duration, incarnation string, do func()) {
	i.net.loop.After(d, func() {
		if !i.up || i.member.Incarnation != incarnation {
			return
		}
		if !i.frozen {
			do()
		}
		i.every(d, incarnation, do)
	})
}

// clock is the instance's own monotonic clock.
func (i *instance) clock() monotime.Instant { return i.net.now().Add(time.Duration(i.skew)) }

func (i *instance) tick() {
	for _, to := range slices.Sorted(mapKeys(i.links)) {
		if p := i.links[to]; p.open && i.net.now().Sub(p.receivedAt) > linkTimeout {
			i.close(p)
		}
	}
	i.refresh()
	for _, id := range i.node.SurplusLinks(i.clock()) {
		if p := i.links[id]; p != nil && p.dialer {
			i.net.breakLink(i, i.net.nodes[id])
		}
	}
	// A keep-alive on every link, as the link layer sends it.
	for _, to := range slices.Sorted(mapKeys(i.links)) {
		i.transmit(to, nil)
	}
	if i.node.StatusDue(i.clock()) {
		i.flush()
	}
}

func mapKeys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// scheduleRefresh combines changes within RefreshDelay, as a real process does.
func (i *instance) scheduleRefresh() {
	if i.refreshDue {
		return
	}
	i.refreshDue = true
	incarnation := i.member.Incarnation
	i.net.loop.After(i.node.RefreshDelay(), func() {
		if i.up && i.member.Incarnation == incarnation {
			i.refresh()
		}
	})
}

func (i *instance) refresh() {
	i.refreshDue = false
	effects := i.node.Refresh(i.clock())
	for _, id := range effects.Lost {
		i.lost[id]++
		i.forget(id)
	}
	for _, ask := range effects.FeedRequests {
		i.transmit(ask.To, []wire.RelayNews{{Feed: int(ask.Feed)}})
	}
	if effects.RequestMembersFrom != "" {
		i.transmit(effects.RequestMembersFrom, []wire.RelayNews{{MembersWanted: true}})
	}
	for _, target := range i.node.LinkTargets(i.clock()) {
		i.dial(target.Address)
	}
	if i.node.LinksChanged() {
		i.scheduleFlush()
	}
}

func (i *instance) forget(id string) {
	for key := range i.recordedRuns {
		if key.instance == id {
			delete(i.recordedRuns, key)
		}
	}
}

func (i *instance) dial(address string) {
	if address == i.member.ID || i.links[address] != nil || i.dialing[address] {
		return
	}
	i.dialing[address] = true
	incarnation := i.member.Incarnation
	other := i.net.nodes[address]
	i.net.loop.After(dialTime, func() {
		if !i.up || i.member.Incarnation != incarnation {
			return
		}
		if i.frozen || other.frozen || i.net.cut(i.member.ID, address) || i.net.cut(address, i.member.ID) {
			i.net.loop.After(dialTimeout, func() { delete(i.dialing, address) })
			return
		}
		if !other.up {
			i.net.loop.After(dialInterval, func() { delete(i.dialing, address) })
			return
		}
		delete(i.dialing, address)
		if i.links[address] == nil {
			i.net.connect(i, other)
		}
	})
}

func (net *network) connect(dialer, acceptor *instance) {
	if acceptor.links[dialer.member.ID] != nil {
		net.breakLink(dialer, acceptor)
	}
	for _, pair := range [][2]*instance{{dialer, acceptor}, {acceptor, dialer}} {
		a, b := pair[0], pair[1]
		a.links[b.member.ID] = &linkEnd{to: b.member.ID, dialer: a == dialer, open: true, receivedAt: net.now()}
		a.node.LinkUp(b.member, a.clock())
	}
	for _, pair := range [][2]*instance{{dialer, acceptor}, {acceptor, dialer}} {
		pair[0].transmit(pair[1].member.ID, []wire.RelayNews{pair[0].node.Greeting()})
		pair[0].scheduleRefresh()
	}
}

// breakLink ends a link at both ends, as a reset does.
func (net *network) breakLink(a, b *instance) {
	for _, pair := range [][2]*instance{{a, b}, {b, a}} {
		if p := pair[0].links[pair[1].member.ID]; p != nil && pair[0].up {
			pair[0].close(p)
		}
	}
}

func (i *instance) close(p *linkEnd) {
	p.open = false
	delete(i.links, p.to)
	i.node.LinkDown(p.to, i.clock())
	i.scheduleRefresh()
}

// transmit sends a message over a link; nil updates are a keep-alive.
func (i *instance) transmit(to string, updates []wire.RelayNews) {
	p := i.links[to]
	if p == nil || !p.open {
		return
	}
	other := i.net.nodes[to]
	back := other.links[i.member.ID]
	if updates != nil {
		i.messages++
		for n := range updates {
			i.net.memberEntries += len(updates[n].Members)
		}
	}
	delay := delayBetweenDataCentres
	if other.member.DataCentre == i.member.DataCentre {
		delay = delayInDataCentre
	}
	delay += i.net.slow(i.member.ID, to)
	p.lastArrival = max(p.lastArrival, i.net.now().Add(delay))
	i.net.loop.At(p.lastArrival, func() { other.receive(back, i.member.ID, updates) })
}

func (i *instance) receive(p *linkEnd, from string, updates []wire.RelayNews) {
	if p == nil || !p.open || i.links[from] != p || !i.up || i.net.cut(from, i.member.ID) {
		return
	}
	if i.frozen {
		i.net.loop.After(tickInterval, func() { i.receive(p, from, updates) })
		return
	}
	p.receivedAt = i.net.now()
	if updates == nil {
		return
	}
	i.messages++
	changed := false
	for n := range updates {
		changed = i.applyUpdate(from, &updates[n]) || changed
	}
	if i.node.HasPending() {
		i.scheduleFlush()
	}
	if changed {
		i.scheduleRefresh()
	}
}

func (i *instance) applyUpdate(from string, update *wire.RelayNews) bool {
	receipt, ok := i.node.Receive(from, update, i.clock())
	if !ok {
		return receipt.Changed
	}
	if update.Whole {
		i.forget(receipt.Origin)
	}
	for _, r := range update.Begun {
		i.recordRun(runKey{receipt.Origin, r.Number})
	}
	for _, number := range update.Ended {
		delete(i.recordedRuns, runKey{receipt.Origin, number})
	}
	if receipt.RequestedFeed != FeedUnchanged {
		i.sendState(from, receipt.RequestedFeed)
	}
	if update.MembersWanted {
		i.transmit(from, []wire.RelayNews{{Members: i.node.Reachable()}})
	}
	return receipt.Changed
}

func (i *instance) sendState(to string, feed Feed) {
	state := i.node.FeedState(to, feed)
	for n := range state {
		id, _ := i.node.Instance(state[n].Origin)
		for key := range i.recordedRuns {
			if key.instance == id {
				state[n].Begun = append(state[n].Begun, wire.RelayRun{Number: key.number})
			}
		}
	}
	i.transmit(to, state)
}

func (i *instance) recordRun(key runKey) {
	i.recordedRuns[key] = true
	if i.net.deliveredAt[key][i.member.ID] == 0 {
		i.net.deliveredAt[key][i.member.ID] = i.net.now()
	}
}

func (i *instance) scheduleFlush() {
	if i.flushScheduled {
		return
	}
	i.flushScheduled = true
	i.flushAfter(i.node.BatchDelay(), i.flushes)
}

// flushAfter sends the batch after d, unless another flush has sent it before.
func (i *instance) flushAfter(d time.Duration, flushes int) {
	incarnation := i.member.Incarnation
	i.net.loop.After(d, func() {
		switch {
		case !i.up || i.member.Incarnation != incarnation || i.flushes != flushes:
		case i.frozen:
			i.flushAfter(tickInterval, flushes)
		default:
			i.flush()
		}
	})
}

func (i *instance) flush() {
	own, since := i.pending, i.since
	i.pending, i.since, i.flushScheduled = wire.RelayNews{}, 0, false
	i.flushes++
	for _, frame := range i.node.Flush(own, since, false, i.clock()) {
		for _, to := range frame.To {
			i.transmit(to, slices.Clone(frame.Updates))
		}
	}
}

// begin begins a run, which ends after lasts.
func (i *instance) begin(lasts time.Duration) runKey {
	i.runs++
	key := runKey{i.member.ID, i.runs}
	i.net.begunAt[key] = i.net.now()
	i.net.deliveredAt[key] = make(map[string]monotime.Instant)
	i.recordedRuns[key] = true
	i.queueOwn(func(p *wire.RelayNews) { p.Begun = append(p.Begun, wire.RelayRun{Number: key.number}) })
	incarnation := i.member.Incarnation
	i.net.loop.After(lasts, func() {
		if i.up && i.member.Incarnation == incarnation {
			delete(i.recordedRuns, key)
			i.queueOwn(func(p *wire.RelayNews) { p.Ended = append(p.Ended, key.number) })
		}
	})
	return key
}

func (i *instance) queueOwn(change func(*wire.RelayNews)) {
	change(&i.pending)
	if i.since == 0 {
		i.since = i.clock()
	}
	i.scheduleFlush()
}

// kill ends a process; its peers receive a reset on their links.
func (i *instance) kill() {
	i.up = false
	for _, to := range slices.Sorted(mapKeys(i.links)) {
		other := i.net.nodes[to]
		if p := other.links[i.member.ID]; p != nil && other.up && !other.frozen {
			other.close(p)
		}
	}
	i.links = make(map[string]*linkEnd)
}

// startAll starts all instances within 300 ms and runs until they had time to find each
// other.
func (net *network) startAll(settle time.Duration) {
	for _, id := range net.order {
		net.loop.After(time.Duration(net.random.Int64N(int64(300*time.Millisecond))), net.nodes[id].start)
	}
	net.loop.Run(settle)
}

// load has every running instance begin perSecond runs on average for a while.
func (net *network) load(length time.Duration, perSecond float64) []runKey {
	var out []runKey
	for _, id := range net.order {
		for range int(perSecond * length.Seconds()) {
			net.loop.After(time.Duration(net.random.Int64N(int64(length))), func() {
				if i := net.nodes[id]; i.up && !i.frozen {
					out = append(out, i.begin(300*time.Millisecond+time.Duration(net.random.Int64N(int64(2*time.Second)))))
				}
			})
		}
	}
	net.loop.Run(length)
	return out
}

// delays returns, sorted, the time until nine in ten of the other instances received each
// run; a run that fewer received counts as an hour.
func (net *network) delays(runs []runKey) []time.Duration {
	var out []time.Duration
	running := 0
	for _, i := range net.nodes {
		if i.up {
			running++
		}
	}
	for _, key := range runs {
		var at []time.Duration
		for _, deliveredAt := range net.deliveredAt[key] {
			at = append(at, deliveredAt.Sub(net.begunAt[key]))
		}
		slices.Sort(at)
		need := (running-1)*9/10 - 1
		if need >= len(at) {
			out = append(out, time.Hour)
			continue
		}
		out = append(out, at[need])
	}
	slices.Sort(out)
	return out
}
