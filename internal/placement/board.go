package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

const (
	// maxRunAge bounds how long a run is believed in without its end being told:
	// above the longest deadline of a request, so that lost news heal.
	maxRunAge = 20 * time.Second
	// cacheShare is the part of an engine's memory believed to hold cached
	// parts; the rest is in use by running requests.
	cacheShare = 0.75
)

// Board is the model of all servers. It is safe for concurrent use.
type Board struct {
	prior      pace.Pace
	home       string // data centre of this instance
	costJitter float64

	mu         sync.Mutex
	rand       *rand.Rand
	contention contention
	servers    map[string]*server
	kinds      map[string]*engineKind // by service
	runs       map[RunID]*run
	// partUsedAt is when a part of a prompt was last sent to any server.
	partUsedAt map[string]monotime.Instant
	// gapLimitUsedAt are the bounds of pauses in use, with their last use.
	gapLimitUsedAt map[time.Duration]monotime.Instant
	// goals are the times to the first event for full credit, by kind of stream.
	goals map[streamKind]time.Duration
	// meanRead is the mean share of reading of the engines that are being chosen
	// from, meanHazard their mean rate of pauses too long for the request, and
	// meanUrgent the mean share of reading that is more urgent than it.
	meanRead, meanHazard, meanUrgent float64
	sweptAt                          monotime.Instant
}

// NewBoard returns an empty Board for an instance in a data centre. prior is
// assumed of the engines of each service until it is learned how fast they are.
func NewBoard(prior pace.Pace, dataCentre string) *Board {
	return &Board{
		prior:          prior,
		home:           dataCentre,
		rand:           newRand(),
		servers:        make(map[string]*server),
		kinds:          make(map[string]*engineKind),
		runs:           make(map[RunID]*run),
		partUsedAt:     make(map[string]monotime.Instant),
		gapLimitUsedAt: make(map[time.Duration]monotime.Instant),
		goals:          make(map[streamKind]time.Duration),
	}
}

// Seed has all choices by chance follow from a number, for runs that can be repeated.
func (b *Board) Seed(seed uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rand = rand.New(rand.NewPCG(seed, seed))
}

// SetCostJitter has up to so much added to the cost of each server, by chance, each
// time one is chosen. Instances that know each other's choices late would all
// choose the same one otherwise.
func (b *Board) SetCostJitter(jitter float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.costJitter = jitter
}

// Candidate is a server that may take a request.
type Candidate struct {
	// ID of the incarnation.
	ID string
	// Service it belongs to.
	Service string
	// DataCentre it stands in.
	DataCentre string
	// Slots is the number of requests it runs at once.
	Slots int
	// MemoryTokens is its room for prompts; 0 when it is no engine.
	MemoryTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// TokenBytes is the memory of one token of a prompt; 0 when parts of a
	// prompt can't be fetched from another engine.
	TokenBytes int
	// LinkMbps is how fast that memory travels, in Mbit/s.
	LinkMbps float64
	// SourceOnly servers take no requests now; parts of prompts may be fetched from them.
	SourceOnly bool
}

func (b *Board) server(c Candidate) *server {
	s := b.servers[c.ID]
	if s == nil {
		s = &server{
			id: c.ID, runs: make(map[RunID]*run), partHolders: make(map[string]int), streamCounts: newStreamCounts(), cache: newPartCache(),
			kind: b.kindOf(c.Service), slow: 1,
			hazards: make(map[time.Duration]*hazard), onTime: make(map[streamKind]*onTimeStreams),
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

// RemoveServer drops the model of an incarnation that is gone.
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
	delete(b.servers, id)
}

// Begin notes that a request was sent to a server, by this instance or a peer.
func (b *Board) Begin(id RunID, serverID string, work Work, unread int, now monotime.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	if b.runs[id] == nil && work.Prompt > 0 {
		b.contention.begun[priorityIndex(work.Priority)].add(now)
		b.server(Candidate{ID: serverID}).arrivals.add(now)
	}
	b.end(id, now) // told again over a new link
	s := b.server(Candidate{ID: serverID})
	s.advance(now)
	s.begun++
	s.delayCostAt = 0
	r := &run{server: s, work: work, unread: unread, begun: now, order: s.begun, alone: len(s.queue.runs) == 0}
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
	s.runs[id] = r
	b.runs[id] = r
	s.holdMemory(&r.work)
	s.streamCounts.add(r)
	s.cache.add(work.Parts, readTo, int(cacheShare*float64(s.memory)))
	for _, part := range work.Parts {
		b.partUsedAt[part.ID] = now
	}
}

// RecordCachedParts notes that an engine keeps parts, least recently used first.
func (b *Board) RecordCachedParts(serverID string, parts []Part, now monotime.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server(Candidate{ID: serverID})
	s.cacheReported = true
	for _, part := range parts {
		s.cache.add([]Part{part}, now, int(cacheShare*float64(s.memory)))
	}
}

// CacheReported reports whether an engine or a peer told what the engine keeps.
func (b *Board) CacheReported(serverID string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[serverID]
	return s != nil && s.cacheReported
}

// CachedParts returns what engines are believed to keep: of each at most so many parts,
// least recently used first.
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

// FirstEvent notes that a run gave its first event: its prompt has been read.
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

// OwnFirstEvent is First for a run of this instance, which also shows how long a first
// event takes. That of others is known too late to measure it.
func (b *Board) OwnFirstEvent(id RunID, now monotime.Instant) {
	b.FirstEvent(id, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.runs[id]; r != nil {
		r.server.observeFirst(r, now)
	}
}

// End notes that a run is over, however it ended.
func (b *Board) End(id RunID, now monotime.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.runs[id]; r != nil && r.work.Prompt > 0 {
		b.contention.ended.add(now)
	}
	b.end(id, now)
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
	delete(b.runs, id)
	delete(r.server.runs, id)
}

// InstanceGone ends the runs of an instance whose process is gone: servers drop
// a request when its connection closes.
func (b *Board) InstanceGone(instance string, now monotime.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.runs {
		if id.Instance == instance {
			b.end(id, now)
		}
	}
}

// sweep ends runs whose end was never told, and forgets parts out of use.
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
	for most, at := range b.gapLimitUsedAt {
		if now.Sub(at) > gapLimitMaxAge {
			delete(b.gapLimitUsedAt, most)
		}
	}
	for id, at := range b.partUsedAt {
		if now.Sub(at) > rereadWindow {
			delete(b.partUsedAt, id)
		}
	}
}

// Running returns the number of runs known on a server.
func (b *Board) Running(serverID string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[serverID]; s != nil {
		return len(s.runs)
	}
	return 0
}
