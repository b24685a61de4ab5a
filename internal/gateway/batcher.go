package gateway

import (
	"context"
	"sync"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
)

// updateBatcher gathers news for a while and has them sent. Adding to it never blocks.
type updateBatcher struct {
	// batchDelay is how long news are gathered.
	batchDelay func() time.Duration
	// due reports whether something is to be sent although nothing happened.
	due func() bool
	// send gets the news of what happened here, since when they were gathered, and
	// whether all peers are to be told now what is in force here.
	send func(own *wire.RelayNews, since monotime.Instant, urgent bool)
	// fillStatus fills in what is in force here.
	fillStatus func(own *wire.RelayNews)

	mu        sync.Mutex
	pending   wire.RelayNews
	since     monotime.Instant // of the oldest of pending, or 0
	urgent    bool
	scheduled bool // a flush is due
	wake      chan struct{}
}

func newUpdateBatcher() *updateBatcher {
	return &updateBatcher{
		batchDelay: func() time.Duration { return 0 },
		due:        func() bool { return false },
		send:       func(*wire.RelayNews, monotime.Instant, bool) {},
		fillStatus: func(*wire.RelayNews) {},
		wake:       make(chan struct{}, 1),
	}
}

// schedule has a flush follow; mu is held.
func (n *updateBatcher) schedule() {
	if n.scheduled {
		return
	}
	n.scheduled = true
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *updateBatcher) add(change func(*wire.RelayNews)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.pending)
	if n.since == 0 {
		n.since = monotime.Now()
	}
	n.schedule()
}

func (n *updateBatcher) addBegin(r wire.RelayRun) {
	n.add(func(p *wire.RelayNews) { p.Begun = append(p.Begun, r) })
}

func (n *updateBatcher) addFirst(run int) {
	n.add(func(p *wire.RelayNews) { p.First = append(p.First, run) })
}

func (n *updateBatcher) addEnd(run int) {
	n.add(func(p *wire.RelayNews) { p.Ended = append(p.Ended, run) })
}

func (n *updateBatcher) addServers(changed []wire.RelayServer) {
	n.add(func(p *wire.RelayNews) { p.Servers = append(p.Servers, changed...) })
}

// addServerList tells all servers of a full list of the store, in one message with its revision.
func (n *updateBatcher) addServerList(all []wire.RelayServer, revision servers.Revision) {
	n.add(func(p *wire.RelayNews) {
		p.Servers = append(p.Servers, all...)
		p.ServersListed = int(revision)
	})
}

func (n *updateBatcher) addEvacuations(changed []wire.RelayEvacuation) {
	n.add(func(p *wire.RelayNews) { p.Evacuations = append(p.Evacuations, changed...) })
}

func (n *updateBatcher) addCache(cache wire.RelayCache) {
	n.add(func(p *wire.RelayNews) { p.Caches = append(p.Caches, cache) })
}

func (n *updateBatcher) addCrashes(list []wire.RelayCrash) {
	n.add(func(p *wire.RelayNews) { p.Crashes = append(p.Crashes, list...) })
}

func (n *updateBatcher) setPaceStats(stats []wire.RelayEvidence) {
	n.add(func(p *wire.RelayNews) { p.Evidence = stats })
}

// scheduleFlush has a flush follow for what is held for others.
func (n *updateBatcher) scheduleFlush() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.schedule()
}

// sendStatus has all peers told what is in force here.
func (n *updateBatcher) sendStatus() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.urgent = true
	n.schedule()
}

func (n *updateBatcher) announceLeaving() {
	n.add(func(p *wire.RelayNews) { p.Leaving = true })
	n.sendStatus()
}

// run sends what was gathered until the context ends.
func (n *updateBatcher) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	delay := time.NewTimer(time.Hour)
	delay.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.wake:
			delay.Reset(n.batchDelay())
			continue
		case <-delay.C:
		case <-ticker.C:
			if !n.due() {
				continue
			}
		}
		n.flush()
	}
}

// flush is called by one goroutine only: news are numbered in the order in which
// they are sent, and an end that overtook its beginning would leave a run for good.
func (n *updateBatcher) flush() {
	n.mu.Lock()
	out, since, urgent := n.pending, n.since, n.urgent
	// A process that leaves says so in all its news.
	n.pending = wire.RelayNews{Leaving: out.Leaving}
	n.since, n.urgent, n.scheduled = 0, false, false
	n.mu.Unlock()
	n.fillStatus(&out)
	n.send(&out, since, urgent)
}
