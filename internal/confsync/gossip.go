package confsync

import (
	"math"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// gossipState is what is open between this instance and its neighbours.
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
		// The hash is most of a question, and the answer brings the neighbour's.
		// One that is behind learns ours by its own next question.
		offer.ManifestSHA256 = ""
		c.sendOffer(id, offer, eff)
	}
}

// announce tells every neighbour of the revision in force and asks for theirs.
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

// OnOffer takes the revision that another instance has in force.
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

// maxPublishedAge bounds the age of a revision that is believed.
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

// onAnswer confirms the revision when the neighbour was asked after the last
// pause and knows nothing newer.
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

// mayTrustResuming allows two instances that slept at the same time to confirm
// each other, but only after an instance that stayed awake, or the platform,
// had its time to answer: with all asleep and the platform down, nobody else
// is left who could know of a newer revision.
func (c *Core) mayTrustResuming(now monotime.Instant) bool {
	return c.resuming && now.Sub(c.resumedAt) > resumeTrustDelay
}

// consider makes a newer revision a candidate and notices one number with two
// contents.
func (c *Core) consider(now monotime.Instant, from string, id revisionID, eff Effects) {
	switch {
	case id.number == 0 || !validHash(id.hash):
	case id.number == c.current.id.number && id.hash != c.current.id.hash:
		c.reportConflict(id, from, eff)
	case id.number > c.current.id.number && !c.isRefused(id):
		c.addSource(now, id, from)
	}
}

// reportConflict keeps what is in force: a revision is never replaced by another of
// the same number, or two halves of the fleet would swap for ever.
func (c *Core) reportConflict(id revisionID, from string, eff Effects) {
	key := conflictKey{number: id.number, from: from}
	if c.conflicts[key] {
		return
	}
	c.conflicts[key] = true
	c.stats.Conflicts++
	eff.Report(Event{Kind: EventConflict, Revision: id.number, Hash: id.hash, From: from})
}
