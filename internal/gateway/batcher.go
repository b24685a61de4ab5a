package gateway

import (
	"context"
	"sync"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/servers"
	"basilrudder/internal/timer"
)

// updateBatcher collects updates for a short time and then sends them to the peers.
// Adding to it never blocks.
type updateBatcher struct {
	// batchDelay returns how long updates are collected.
	batchDelay func() time.Duration
	// due reports whether a status is to be sent although there is no update.
	due func() bool
	// send sends an update: what happened here, since when it was collected, and whether
	// the state in force here must be sent to all peers at once.
	send func(own *wire.RelayNews, since monotime.Instant, urgent bool)
	// fillStatus adds the state in force here to an update.
	fillStatus func(own *wire.RelayNews)

	mu        sync.Mutex
	pending   wire.RelayNews
	since     monotime.Instant // of the oldest pending update, or 0
	urgent    bool
	scheduled bool // a flush follows
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

// schedule requests a flush after batchDelay. mu is held.
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

// addPace adds a sample of the pace of a server. Receivers apply it before the ends of
// runs in the same update.
func (n *updateBatcher) addPace(sample [paceNumbers]int) {
	n.add(func(p *wire.RelayNews) { p.Paces = append(p.Paces, sample[:]...) })
}

func (n *updateBatcher) addEnd(run int) {
	n.add(func(p *wire.RelayNews) { p.Ended = append(p.Ended, run) })
}

// addStream adds a stream that a software version began. The streams of one version are
// sent together.
func (n *updateBatcher) addStream(key int, software string) {
	n.add(func(p *wire.RelayNews) {
		for i := range p.Streams {
			if p.Streams[i].Software == software {
				p.Streams[i].Keys = append(p.Streams[i].Keys, key)
				return
			}
		}
		p.Streams = append(p.Streams, wire.RelayStreams{Software: software, Keys: []int{key}})
	})
}

func (n *updateBatcher) addServers(changed []wire.RelayServer) {
	n.add(func(p *wire.RelayNews) { p.Servers = append(p.Servers, changed...) })
}

// addServerList adds all servers of a full list of the store, in one message with its
// revision.
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

func (n *updateBatcher) addFalls(list []wire.RelayFall) {
	n.add(func(p *wire.RelayNews) { p.Falls = append(p.Falls, list...) })
}

func (n *updateBatcher) setPaceStats(stats []wire.RelayEvidence) {
	n.add(func(p *wire.RelayNews) { p.Evidence = stats })
}

// scheduleFlush requests a flush, for updates held for other instances.
func (n *updateBatcher) scheduleFlush() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.schedule()
}

// sendStatus requests that all peers be sent the state in force here.
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

// announceFull tells the peers that this instance should get no new callers for a while.
func (n *updateBatcher) announceFull(d time.Duration) {
	n.add(func(p *wire.RelayNews) { p.FullMS = int(d.Milliseconds()) })
}

// run sends collected updates until the context ends.
func (n *updateBatcher) run(ctx context.Context) error {
	ticker := timer.NewTicker(tickInterval)
	defer ticker.Stop()
	delay := timer.NewStopped()
	defer delay.Stop()
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

// flush is called by one goroutine only: updates are numbered in the order in which they
// are sent, and an end sent before its begin would leave a run recorded forever.
func (n *updateBatcher) flush() {
	n.mu.Lock()
	out, since, urgent := n.pending, n.since, n.urgent
	// A process that leaves reports so in all its updates.
	n.pending = wire.RelayNews{Leaving: out.Leaving}
	n.since, n.urgent, n.scheduled = 0, false, false
	n.mu.Unlock()
	n.fillStatus(&out)
	n.send(&out, since, urgent)
}
