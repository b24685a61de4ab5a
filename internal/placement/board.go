// Package placement models the load, caches and speed of all servers, and chooses a server for
// each request.
package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

const (
	// maxRunAge is the age at which a run whose end was not reported is ended. It is
	// above the longest deadline of a request; a shorter one would end runs that still
	// run. It bounds how long a lost update keeps a run on a server.
	maxRunAge = 20 * time.Second
	// cacheShare is the part of an engine's memory assumed to hold cached parts; running
	// requests use the rest. A larger share counts parts as cached that the engine has
	// evicted, a smaller one has cached parts read again.
	cacheShare = 0.75
)

// Board is the model of all servers. It is safe for concurrent use.
type Board struct {
	prior      pace.Pace
	dataCentre string // data centre of this instance
	// costJitter returns the maximum random amount added to the cost of each server of a
	// choice that considers a share of the servers.
	costJitter func(share float64) float64
	// connected reports whether this instance has an idle connection to a server.
	connected func(server string) bool
	// self is the id of this instance, and places tells its place among those that share a
	// server.
	self   string
	places Places

	mu       sync.Mutex
	features Features
	// largeUntil is until when the fleet counts as large; 0 for never.
	largeUntil monotime.Instant
	rand       *rand.Rand
	contention contention
	servers    map[string]*server
	kinds      map[string]*engineKind // by service
	runs       map[RunID]*run
	// holders are the engines assumed to cache a part of a prompt that requests share.
	holders map[string][]*server
	// partUsedAt is when each part of a prompt was last sent to any server.
	partUsedAt map[string]monotime.Instant
	// gapLimitUsedAt is when each limit of pauses (Work.MaxGap) was last used.
	gapLimitUsedAt map[time.Duration]monotime.Instant
	// goals are the times to the first event for full credit, by kind of stream.
	goals map[streamKind]time.Duration
	// Means over the engines that a request can be placed on, set for each choice:
	// meanRead of the share of time spent reading, meanHazard of the rate of pauses too
	// long for the request, and meanUrgent of the share of time spent reading more urgent
	// prompts.
	meanRead, meanHazard, meanUrgent float64
	sweptAt                          monotime.Instant
}

// NewBoard returns an empty Board for an instance in a data centre. prior is the assumed
// pace of the engines of each service until samples are taken.
func NewBoard(prior pace.Pace, dataCentre string) *Board {
	return &Board{
		prior:          prior,
		dataCentre:     dataCentre,
		rand:           newRand(),
		costJitter:     func(float64) float64 { return 0 },
		connected:      func(string) bool { return false },
		places:         func(string) (place, instances int, ok bool) { return 0, 1, true },
		servers:        make(map[string]*server),
		holders:        make(map[string][]*server),
		kinds:          make(map[string]*engineKind),
		runs:           make(map[RunID]*run),
		partUsedAt:     make(map[string]monotime.Instant),
		gapLimitUsedAt: make(map[time.Duration]monotime.Instant),
		goals:          make(map[streamKind]time.Duration),
	}
}

// Seed seeds all random choices, for reproducible runs.
func (b *Board) Seed(seed uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rand = rand.New(rand.NewPCG(seed, seed))
}

// SetCostJitter sets the maximum random amount that is added to the cost of each server
// at each choice, given the share of the servers that the choice considers. Without it,
// instances that receive each other's choices late would all choose the same server.
func (b *Board) SetCostJitter(jitter func(share float64) float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.costJitter = jitter
}

// Candidate is a server considered for a request.
type Candidate struct {
	// ID of the incarnation.
	ID string
	// Service it belongs to.
	Service string
	// DataCentre it is located in.
	DataCentre string
	// Software is the version of its software.
	Software string
	// Slots is the maximum number of concurrent requests.
	Slots int
	// MemoryTokens is the capacity of its memory in tokens; 0 for a server that is no
	// engine.
	MemoryTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// TokenBytes is the memory of one token of a prompt; 0 when parts of a prompt can't
	// be fetched from another engine.
	TokenBytes int
	// LinkMbps is the rate at which that memory is transferred, in Mbit/s.
	LinkMbps float64
	// Brittle marks a server that may fail when it has to refuse requests, so it gets none
	// for which it may have no free slot.
	Brittle bool
	// SourceOnly marks a server that takes no requests, but from which parts of prompts
	// may be fetched.
	SourceOnly bool
}

func (b *Board) server(c Candidate) *server {
	s := b.servers[c.ID]
	if s == nil {
		s = &server{
			id: c.ID, idHash: idHash(c.ID), cache: newPartCache(), kind: b.kindOf(c.Service), slow: 1,
		}
		b.servers[c.ID] = s
	}
	if c.Slots > 0 {
		s.kind = b.kindOf(c.Service)
		s.dataCentre, s.slots = c.DataCentre, c.Slots
		s.memory, s.eventTokens = c.MemoryTokens, c.EventTokens
		s.tokenBytes, s.linkMbps = c.TokenBytes, c.LinkMbps
	}
	return s
}

// RemoveServer removes the model of an incarnation that is gone, and its runs.
func (b *Board) RemoveServer(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		return
	}
	for runID := range s.runs {
		delete(b.runs, runID)
	}
	for part := range s.cache.byID {
		b.removeHolder(part, s)
	}
	delete(b.servers, id)
}

// Begin records that this instance or a peer sent a request to a server. unread is the
// number of prompt tokens that the server has to read.
func (b *Board) Begin(id RunID, serverID string, work Work, unread int, now monotime.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.beginRun(id, serverID, work, unread, now)
}

func (b *Board) beginRun(id RunID, serverID string, work Work, unread int, now monotime.Instant) {
	b.sweep(now)
	if b.runs[id] == nil && work.Prompt > 0 {
		b.contention.begun[priorityIndex(work.Priority)].add(now)
		b.server(Candidate{ID: serverID}).arrivals.add(now)
		b.recordDemand(b.server(Candidate{ID: serverID}), &work, unread, now)
	}
	b.end(id, now) // a peer reports its runs again over a new link
	s := b.server(Candidate{ID: serverID})
	s.advance(now)
	s.begun++
	s.delayCostAt = 0
	r := &run{server: s, work: work, unread: unread, begun: now, order: s.begun, alone: len(s.queue.runs) == 0}
	r.long = !b.isBriefOn(s.kind, s.slots, &work)
	readTo := now
	if unread > 0 {
		speed := s.pace(now)
		readTo = now.Add(s.queue.timeAhead(&work, now) + speed.Prompt(unread, work.Prompt, len(s.runs)))
		r.readLeft = readingTime(&speed, unread, work.Prompt, len(s.runs))
		s.queue.add(r)
		s.queue.recordArrival(work.Priority, r.readLeft, now)
		s.kind.recordReadTime(speed.Read(unread, work.Prompt))
	}
	if work.Left > 0 {
		r.deadline = now.Add(work.Left)
	}
	if s.queue.startsWith(r) {
		r.headAt = now
	}
	b.recordPauses(s, r, now)
	put(&s.runs, id, r)
	b.runs[id] = r
	s.holdMemory(&r.work)
	s.streamCounts.add(r)
	b.cacheParts(s, work.Parts, readTo)
	b.addHolder(work.Parts[:max(0, len(work.Parts)-1)], s)
	for _, part := range work.Parts {
		b.partUsedAt[part.ID] = now
	}
}

// RecordCachedParts records that an engine has cached parts, least recently used first.
func (b *Board) RecordCachedParts(serverID string, parts []Part, now monotime.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(Candidate{ID: serverID})
	s.cacheReported = true
	for _, part := range parts {
		b.cacheParts(s, []Part{part}, now)
	}
	b.addHolder(parts, s)
}

// CacheReported reports whether an engine or a peer has reported the cached parts of the
// engine.
func (b *Board) CacheReported(serverID string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[serverID]
	return s != nil && s.cacheReported
}

// CachedParts returns the parts that the engines are assumed to cache, for each engine at
// most limit parts, least recently used first.
func (b *Board) CachedParts(limit int) map[string][]Part {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string][]Part)
	for id, s := range b.servers {
		if parts := s.cache.newest(limit); len(parts) > 0 {
			out[id] = parts
		}
	}
	return out
}

// FirstEvent records the first event of a run: its prompt has been read.
func (b *Board) FirstEvent(id RunID, now monotime.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.runs[id]; r != nil && !r.first {
		r.server.queue.remove(r, now)
		r.first, r.firstAt = true, now
		r.server.lastEventAt = now
		r.server.recordBypassed(r, now)
		speed := r.server.pace(now)
		r.server.recordRead(speed.Read(r.unread, r.work.Prompt), now)
		r.server.done.read += float64(r.unread)
		r.server.done.pairsM += pace.Pairs(r.unread, r.work.Prompt)
		r.server.cache.ready(r.work.Parts, now)
	}
}

// OwnFirstEvent is FirstEvent for a run of this instance, and also updates the estimated
// time to first events and what is predicted of its pauses. Reports of other instances
// arrive too late for that.
func (b *Board) OwnFirstEvent(id RunID, now monotime.Instant) {
	b.FirstEvent(id, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.runs[id]; r != nil {
		r.server.observeFirst(r, now)
		r.server.startPauses(r, now)
	}
}

// End records the end of a run, whatever its outcome. It returns the last sample of a
// run of this instance for the others, if there is one.
func (b *Board) End(id RunID, now monotime.Instant) (sample pace.ServerSample, due bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.runs[id]; r != nil {
		if r.server.kind.shared(now) {
			sample, due = b.shareSample(r, now)
		}
		r.server.kind.recordLife(now.Sub(r.begun))
		r.server.kind.split.recordEnd(&r.work, now.Sub(r.begun))
		if r.work.Prompt > 0 {
			b.contention.ended.add(now)
		}
	}
	b.end(id, now)
	return sample, due
}

func (b *Board) end(id RunID, now monotime.Instant) {
	r := b.runs[id]
	if r == nil {
		return
	}
	r.server.queue.remove(r, now)
	r.server.advance(now)
	r.server.observeSteps(&r.watch.noReading)
	r.server.releaseMemory(&r.work)
	r.server.streamCounts.remove(r)
	r.server.removeOnTime(r)
	r.server.unwatch(r)
	delete(b.runs, id)
	drop(&r.server.runs, id)
}

// InstanceGone ends the runs of an instance whose process is gone: most servers drop a
// request when its connection closes.
func (b *Board) InstanceGone(instance string, now monotime.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, r := range b.runs {
		if id.Instance == instance {
			r.server.addOrphan(r, now)
			b.end(id, now)
		}
	}
}

// sweep ends runs older than maxRunAge and removes parts and limits of pauses that are no
// longer used. It runs at most once a second.
func (b *Board) sweep(now monotime.Instant) {
	if now.Sub(b.sweptAt) < time.Second {
		return
	}
	b.sweptAt = now
	for id, r := range b.runs {
		if now.Sub(r.begun) > maxRunAge {
			b.end(id, now)
		}
	}
	for limit, at := range b.gapLimitUsedAt {
		if now.Sub(at) > gapLimitMaxAge {
			delete(b.gapLimitUsedAt, limit)
		}
	}
	for id, at := range b.partUsedAt {
		if now.Sub(at) > rereadWindow {
			delete(b.partUsedAt, id)
		}
	}
}

// Running returns the number of tracked runs on a server.
func (b *Board) Running(serverID string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[serverID]; s != nil {
		return len(s.runs)
	}
	return 0
}
