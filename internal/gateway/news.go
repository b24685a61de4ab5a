package gateway

import (
	"context"
	"sync"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// newsroom gathers news for a while and has them sent. Adding to it never blocks.
type newsroom struct {
	// gather is how long news are gathered.
	gather func() time.Duration
	// due reports whether something is to be sent although nothing happened.
	due func() bool
	// send gets the news of what happened here, since when they were gathered, and
	// whether all peers are to be told now what is in force here.
	send func(own *wire.RelayNews, since monotime.Instant, urgent bool)
	// status fills in what is in force here.
	status func(own *wire.RelayNews)

	mu      sync.Mutex
	pending wire.RelayNews
	since   monotime.Instant // of the oldest of pending, or 0
	urgent  bool
	armed   bool // a flush is due
	kick    chan struct{}
}

func newNewsroom() *newsroom {
	return &newsroom{
		gather: func() time.Duration { return 0 },
		due:    func() bool { return false },
		send:   func(*wire.RelayNews, monotime.Instant, bool) {},
		status: func(*wire.RelayNews) {},
		kick:   make(chan struct{}, 1),
	}
}

// arm has a flush follow; mu is held.
func (n *newsroom) arm() {
	if n.armed {
		return
	}
	n.armed = true
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

func (n *newsroom) add(change func(*wire.RelayNews)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.pending)
	if n.since == 0 {
		n.since = monotime.Now()
	}
	n.arm()
}

func (n *newsroom) begun(r wire.RelayRun) {
	n.add(func(p *wire.RelayNews) { p.Begun = append(p.Begun, r) })
}

func (n *newsroom) first(run int) {
	n.add(func(p *wire.RelayNews) { p.First = append(p.First, run) })
}

func (n *newsroom) ended(run int) {
	n.add(func(p *wire.RelayNews) { p.Ended = append(p.Ended, run) })
}

func (n *newsroom) servers(changed []wire.RelayServer) {
	n.add(func(p *wire.RelayNews) { p.Servers = append(p.Servers, changed...) })
}

// listed tells all servers of a full list of the store, in one message with its revision.
func (n *newsroom) listed(all []wire.RelayServer, revision servers.Revision) {
	n.add(func(p *wire.RelayNews) {
		p.Servers = append(p.Servers, all...)
		p.ServersListed = int(revision)
	})
}

func (n *newsroom) evacuations(changed []wire.RelayEvacuation) {
	n.add(func(p *wire.RelayNews) { p.Evacuations = append(p.Evacuations, changed...) })
}

func (n *newsroom) caches(cache wire.RelayCache) {
	n.add(func(p *wire.RelayNews) { p.Caches = append(p.Caches, cache) })
}

func (n *newsroom) crashes(told []wire.RelayCrash) {
	n.add(func(p *wire.RelayNews) { p.Crashes = append(p.Crashes, told...) })
}

func (n *newsroom) evidence(told []wire.RelayEvidence) {
	n.add(func(p *wire.RelayNews) { p.Evidence = told })
}

// pass has a flush follow for what is held for others.
func (n *newsroom) pass() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.arm()
}

// soon has all peers told what is in force here.
func (n *newsroom) soon() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.urgent = true
	n.arm()
}

func (n *newsroom) leaving() {
	n.add(func(p *wire.RelayNews) { p.Leaving = true })
	n.soon()
}

// run sends what was gathered until the context ends.
func (n *newsroom) run(ctx context.Context) error {
	regular := time.NewTicker(tick)
	defer regular.Stop()
	gather := time.NewTimer(time.Hour)
	gather.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.kick:
			gather.Reset(n.gather())
			continue
		case <-gather.C:
		case <-regular.C:
			if !n.due() {
				continue
			}
		}
		n.flush()
	}
}

// flush is called by one goroutine only: news are numbered in the order in which
// they are sent, and an end that overtook its beginning would leave a run for good.
func (n *newsroom) flush() {
	n.mu.Lock()
	out, since, urgent := n.pending, n.since, n.urgent
	// A process that leaves says so in all its news.
	n.pending = wire.RelayNews{Leaving: out.Leaving}
	n.since, n.urgent, n.armed = 0, false, false
	n.mu.Unlock()
	n.status(&out)
	n.send(&out, since, urgent)
}
