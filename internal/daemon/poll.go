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
	// pollsAtOnce bounds the engines asked at a time for each kind of hint.
	pollsAtOnce = 8
	// pollTimeout bounds one question to an engine.
	pollTimeout = time.Second
)

// poller asks the engines of the owned groups for load reports and cache
// events. Other instances do not ask: the owner is the one that chooses.
type poller struct {
	node    *node.Node
	clients *upstream.Client
	tasks   *sync.WaitGroup

	mu    sync.Mutex
	load  *hints.Schedule
	cache *hints.Schedule
	// after is the next cache event to ask an engine for. A new owner asks for
	// all that the engine still has, once.
	after map[string]int
}

func newPoller(n *node.Node, clients *upstream.Client, tasks *sync.WaitGroup, seed uint64) *poller {
	return &poller{
		node:    n,
		clients: clients,
		tasks:   tasks,
		load:    hints.NewSchedule(hints.LoadEvery, seed),
		cache:   hints.NewSchedule(hints.CacheEvery, seed),
		after:   make(map[string]int),
	}
}

// tick asks the engines that are due.
func (p *poller) tick(ctx context.Context, now monotime.Instant) {
	cat := p.node.Catalog()
	if cat == nil {
		return
	}
	ids := p.node.OwnedEngines()
	p.mu.Lock()
	load := p.load.Due(now, ids, pollsAtOnce, nil)
	cache := p.cache.Due(now, ids, pollsAtOnce, nil)
	p.mu.Unlock()
	p.each(ctx, cat, p.load, load, p.askLoad)
	p.each(ctx, cat, p.cache, cache, p.askCache)
}

type question func(ctx context.Context, target upstream.Target, id string) *verdict.Error

func (p *poller) each(ctx context.Context, cat *catalog.Catalog, schedule *hints.Schedule, ids []string, ask question) {
	for _, id := range ids {
		engine := cat.Engines[id]
		if engine == nil {
			p.done(schedule, id, false)
			continue
		}
		p.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()
			p.done(schedule, id, ask(ctx, targetOf(engine), id) == nil)
		})
	}
}

func (p *poller) done(schedule *hints.Schedule, id string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	schedule.Done(monotime.Now(), id, ok)
}

func (p *poller) askLoad(ctx context.Context, target upstream.Target, id string) *verdict.Error {
	report, err := p.clients.LoadReport(ctx, target)
	if err == nil {
		p.node.LoadReport(monotime.Now(), id, report)
	}
	return err
}

func (p *poller) askCache(ctx context.Context, target upstream.Target, id string) *verdict.Error {
	p.mu.Lock()
	after := p.after[id]
	p.mu.Unlock()
	events, err := p.clients.CacheEvents(ctx, target, after)
	if err != nil {
		return err
	}
	p.node.CacheEvents(monotime.Now(), id, events)
	p.mu.Lock()
	p.after[id] = events.Next
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
