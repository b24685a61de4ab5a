package confsync

import (
	"math"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// gossipState tracks the open queries to the neighbours and their answers.
type gossipState struct {
	lastQuery  int
	pending    map[string]query
	answeredAt map[string]monotime.Instant
	nextQuery  monotime.Instant
}

type query struct {
	number int
	at     monotime.Instant
}

type conflictKey struct {
	number uint64
	from   string
}

func newGossipState(nextQuery monotime.Instant) gossipState {
	return gossipState{
		pending:    make(map[string]query),
		answeredAt: make(map[string]monotime.Instant),
		nextQuery:  nextQuery,
	}
}

func (g *gossipState) reset(now monotime.Instant) {
	clear(g.pending)
	g.nextQuery = now.Add(resumeQueryInterval)
}

func (g *gossipState) drop(id string) {
	delete(g.pending, id)
	delete(g.answeredAt, id)
}

func (c *Core) queryIfDue(now monotime.Instant, eff Effects) {
	if now.Before(c.gossip.nextQuery) {
		return
	}
	every := c.cfg.QueryInterval
	if c.resuming {
		every = resumeQueryInterval
	}
	c.gossip.nextQuery = now.Add(every)
	for _, id := range c.neighbours {
		offer := c.newQuery(now, id)
		// The hash is most of a query's size, and the answer carries the neighbour's. A
		// neighbour that is behind gets this hash by its own next query.
		offer.ManifestSHA256 = ""
		c.sendOffer(id, offer, eff)
	}
}

// announce sends every neighbour the revision in force and queries theirs.
func (c *Core) announce(now monotime.Instant, eff Effects) {
	for _, id := range c.neighbours {
		c.sendOffer(id, c.newQuery(now, id), eff)
	}
}

func (c *Core) newQuery(now monotime.Instant, to string) *wire.ConfigOffer {
	c.gossip.lastQuery++
	c.gossip.pending[to] = query{number: c.gossip.lastQuery, at: now}
	offer := c.offer(now)
	offer.Question = c.gossip.lastQuery
	return offer
}

func (c *Core) offer(now monotime.Instant) *wire.ConfigOffer {
	offer := &wire.ConfigOffer{
		Revision:       int(c.current.id.number),
		ManifestSHA256: c.current.id.hash,
		Unconfirmed:    c.resuming,
	}
	if c.current.publishedAt != 0 {
		offer.PublishedMS = int(now.Sub(c.current.publishedAt).Milliseconds()) + 1
	}
	if age := c.PlatformAge(now).Milliseconds(); c.platformConfirmed && age >= 0 && age < math.MaxInt32 {
		offer.PlatformAgeMS = int(age) + 1
	}
	return offer
}

func (c *Core) sendOffer(to string, offer *wire.ConfigOffer, eff Effects) {
	c.stats.Offers++
	eff.SendPeer(to, &wire.Envelope{ConfigOffer: offer})
}

// OnOffer handles the revision that another instance reports to have in force.
func (c *Core) OnOffer(now monotime.Instant, from string, offer wire.ConfigOffer, eff Effects) {
	if offer.Revision < 0 {
		return
	}
	id := revisionID{number: uint64(offer.Revision), hash: offer.ManifestSHA256}
	if offer.Question != 0 {
		answer := c.offer(now)
		answer.Answers = offer.Question
		c.sendOffer(from, answer, eff)
	}
	if offer.Question == 0 && offer.Answers == 0 {
		c.onWantDeclined(from, id)
	}
	c.consider(now, from, id, eff)
	c.recordPublished(now, id, offer)
	if offer.Answers != 0 {
		c.onAnswer(now, from, id, offer)
	}
	c.advance(now, eff)
}

// maxPublishedAge is the maximum accepted age of a published revision. Longer ages are
// ignored as damaged; the publishing time of a revision older than that is lost.
const maxPublishedAge = 24 * time.Hour

func (c *Core) recordPublished(now monotime.Instant, id revisionID, offer wire.ConfigOffer) {
	cand := c.candidates[id]
	if cand == nil || offer.PublishedMS <= 0 || offer.PublishedMS > int(maxPublishedAge.Milliseconds()) {
		return
	}
	at := now.Add(-time.Duration(offer.PublishedMS-1) * time.Millisecond)
	if cand.publishedAt == 0 || at.Before(cand.publishedAt) {
		cand.publishedAt = at
	}
}

// onAnswer confirms the revision if the neighbour was asked after the last pause and has
// nothing newer.
func (c *Core) onAnswer(now monotime.Instant, from string, id revisionID, offer wire.ConfigOffer) {
	pending, ok := c.gossip.pending[from]
	if !ok || pending.number != offer.Answers {
		return
	}
	c.stats.Answers++
	c.gossip.answeredAt[from] = now
	if id != c.current.id && !c.isRefused(id) {
		return
	}
	if offer.Unconfirmed && !c.mayTrustResuming(now) {
		return
	}
	c.confirm(pending.at)
	if offer.PlatformAgeMS > 0 {
		age := time.Duration(offer.PlatformAgeMS-1) * time.Millisecond
		c.confirmPlatform(pending.at.Add(-age))
	}
}

// mayTrustResuming allows two instances that were paused at the same time to confirm each
// other. An instance that was not paused, or the platform, may have a newer revision and
// first gets the time to answer. Only if all instances were paused and the platform is
// down can nobody have one.
func (c *Core) mayTrustResuming(now monotime.Instant) bool {
	return c.resuming && now.Sub(c.resumedAt) > resumeTrustDelay
}

// consider makes a newer revision a candidate and detects two contents of one number.
func (c *Core) consider(now monotime.Instant, from string, id revisionID, eff Effects) {
	switch {
	case id.number == 0 || !validHash(id.hash):
	case id.number == c.current.id.number && id.hash != c.current.id.hash:
		c.reportConflict(id, from, eff)
	case id.number > c.current.id.number && !c.isRefused(id):
		c.addSource(now, id, from)
	}
}

// reportConflict reports a conflict and keeps what is in force. If a revision could be
// replaced by another one of the same number, two halves of the fleet could swap forever.
func (c *Core) reportConflict(id revisionID, from string, eff Effects) {
	key := conflictKey{number: id.number, from: from}
	if c.conflicts[key] {
		return
	}
	c.conflicts[key] = true
	c.stats.Conflicts++
	eff.Report(Event{Kind: EventConflict, Revision: id.number, Hash: id.hash, From: from})
}
