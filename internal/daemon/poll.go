package daemon

import (
	"context"
	"sync"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/hints"
	"basilrudder/internal/monotime"
	"basilrudder/internal/node"
	"basilrudder/internal/upstream"
	"basilrudder/internal/verdict"
)

const (
	// maxConcurrentPolls limits the engines polled at the same time for each kind of hint.
	// A smaller value delays the hints of an owner of many engines; a larger one opens
	// more connections at once.
	maxConcurrentPolls = 8
	// pollTimeout bounds one poll of an engine. A longer one lets unresponsive engines
	// delay the polls of others; a shorter one loses the hints of slow engines.
	pollTimeout = time.Second
)

// poller polls the engines of the groups that this instance owns for load reports and cache
// events. Only the owner polls because only the owner chooses engines for requests.
type poller struct {
	node    *node.Node
	clients *upstream.Client
	tasks   *sync.WaitGroup

	mu            sync.Mutex
	loadSchedule  *hints.Schedule
	cacheSchedule *hints.Schedule
	// nextEvent maps an engine id to the next cache event to request. A new owner starts at
	// 0 and so receives all events that the engine still has, once.
	nextEvent map[string]int
}

func newPoller(n *node.Node, clients *upstream.Client, tasks *sync.WaitGroup, seed uint64) *poller {
	return &poller{
		node:          n,
		clients:       clients,
		tasks:         tasks,
		loadSchedule:  hints.NewSchedule(hints.LoadEvery, seed),
		cacheSchedule: hints.NewSchedule(hints.CacheEvery, seed),
		nextEvent:     make(map[string]int),
	}
}

// tick polls the engines that are due.
func (p *poller) tick(ctx context.Context, now monotime.Instant) {
	cat := p.node.Catalog()
	if cat == nil {
		return
	}
	ids := p.node.OwnedEngines()
	p.mu.Lock()
	load := p.loadSchedule.Due(now, ids, maxConcurrentPolls, nil)
	cache := p.cacheSchedule.Due(now, ids, maxConcurrentPolls, nil)
	p.mu.Unlock()
	p.pollEach(ctx, cat, p.loadSchedule, load, p.pollLoad)
	p.pollEach(ctx, cat, p.cacheSchedule, cache, p.pollCacheEvents)
}

type pollFunc func(ctx context.Context, target upstream.Target, id string) *verdict.Error

func (p *poller) pollEach(ctx context.Context, cat *catalog.Catalog, schedule *hints.Schedule, ids []string, poll pollFunc) {
	for _, id := range ids {
		engine := cat.Engines[id]
		if engine == nil {
			p.recordResult(schedule, id, false)
			continue
		}
		p.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
			p.recordResult(schedule, id, poll(ctx, targetOf(engine), id) == nil)
		})
	}
}

func (p *poller) recordResult(schedule *hints.Schedule, id string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	schedule.Done(monotime.Now(), id, ok)
}

func (p *poller) pollLoad(ctx context.Context, target upstream.Target, id string) *verdict.Error {
	report, err := p.clients.LoadReport(ctx, target)
	if err == nil {
		p.node.LoadReport(monotime.Now(), id, report)
	}
	return err
}

func (p *poller) pollCacheEvents(ctx context.Context, target upstream.Target, id string) *verdict.Error {
	p.mu.Lock()
	after := p.nextEvent[id]
	p.mu.Unlock()
	events, err := p.clients.CacheEvents(ctx, target, after)
	if err != nil {
		return err
	}
	p.node.CacheEvents(monotime.Now(), id, events)
	p.mu.Lock()
	p.nextEvent[id] = events.Next
	p.mu.Unlock()
	return nil
}

func targetOf(engine *catalog.Engine) upstream.Target {
	return upstream.Target{
		Address: engine.Server.Spec.Address,
		Server:  engine.Server.Spec.Name,
		Engine:  engine.Spec.Name,
	}
}
