package membership

import (
	"slices"
	"strings"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// OnMembers applies updates from a peer and relays each that changed the table, once.
func (c *Core) OnMembers(now monotime.Instant, from string, updates []wire.MemberUpdate, eff Effects) {
	c.detectPause(now, eff)
	c.receivedFrom(now, from)
	var accepted, corrections []wire.MemberUpdate
	refute := false
	for _, u := range updates {
		m, ok := fromWire(u)
		if !ok {
			continue
		}
		if m.ID == c.self.ID {
			refute = c.onSelfUpdate(now, m) || refute
			continue
		}
		if e := c.merge(now, m); e != nil {
			c.stats.Accepted++
			accepted = append(accepted, toWire(e.Member))
			continue
		}
		c.stats.Repeated++
		if e := c.find(m.ID); m.ID == from && e != nil && differs(e.Member, m) {
			// The subject's update is outdated; for instance it reports itself alive
			// although it is recorded as dead here. It needs the recorded state to refute
			// it.
			corrections = append(corrections, toWire(e.Member))
		}
	}
	c.push(accepted, from, eff)
	c.sendUpdates(from, corrections, eff)
	if refute {
		c.pushSelf(eff)
	}
}

// differs reports whether two members represent different updates.
func differs(a, b Member) bool {
	return a.State != b.State || a.Epoch != b.Epoch || a.Incarnation != b.Incarnation
}

// onSelfUpdate handles an update about this member's own ID and reports whether its
// answer must be pushed.
func (c *Core) onSelfUpdate(now monotime.Instant, m Member) bool {
	same := m.Incarnation == c.self.Incarnation
	if m.Epoch < c.self.Epoch || c.self.State == Gone {
		return false
	}
	if same && m.Epoch == c.self.Epoch && m.State.rank() == 0 {
		return false
	}
	if !same && m.State.present() {
		c.stats.Conflicts++
		// Two running processes with one ID would raise the epoch in turn at the speed of
		// the network. The limit keeps the fleet usable until the operators end one of
		// them.
		if c.epochRaisedAt != 0 && now.Sub(c.epochRaisedAt) < conflictBackoff {
			return false
		}
	}
	c.stats.Refuted++
	c.self.Epoch = m.Epoch
	c.raiseEpoch(now)
	return true
}

// newer reports whether update m supersedes entry e.
func newer(m Member, e *entry) bool {
	if m.Epoch != e.Epoch {
		return m.Epoch > e.Epoch
	}
	if m.Incarnation != e.Incarnation {
		return m.Incarnation > e.Incarnation
	}
	return m.State.rank() > e.State.rank()
}

// merge applies one update about another member and returns its row if the table changed.
func (c *Core) merge(now monotime.Instant, m Member) *entry {
	e := c.find(m.ID)
	if e == nil {
		return c.insert(now, m)
	}
	if !newer(m, e) {
		return nil
	}
	if m.State == Dead && e.State.present() {
		// Another part of the fleet may have declared dead a member that this part works
		// with. The member gets the time to refute here too; without it a healing
		// partition would empty the views of both parts.
		m.State = Suspect
		if e.State == Suspect && e.Epoch == m.Epoch && e.Incarnation == m.Incarnation {
			return nil
		}
	}
	if m.PeerAddress == "" {
		m.DataCentre, m.CallerAddress, m.PeerAddress = e.DataCentre, e.CallerAddress, e.PeerAddress
	}
	if m.Incarnation != e.Incarnation {
		e.left, e.listedLive, e.listedLeaving = false, e.listing == listedAsLive, false
	}
	c.set(now, e, m)
	return e
}

// insert adds a row for a member that has none.
func (c *Core) insert(now monotime.Instant, m Member) *entry {
	if m.State == Suspect || m.State.present() && m.PeerAddress == "" {
		return nil
	}
	if len(c.entries) >= MaxMembers && !c.evict() {
		c.stats.Overflows++
		return nil
	}
	e := &entry{rings: ringHashes(m.ID), bucket: bucketOf(m.ID), listing: c.removeCandidate(m.ID)}
	e.listedLive = e.listing == listedAsLive
	i, _ := c.search(m.ID)
	c.entries = slices.Insert(c.entries, i, e)
	c.set(now, e, m)
	return e
}

// evict removes the oldest tombstone and reports whether there was one.
func (c *Core) evict() bool {
	oldest := -1
	for i, e := range c.entries {
		if e.State.present() {
			continue
		}
		if oldest < 0 || e.since.Before(c.entries[oldest].since) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	c.entries = slices.Delete(c.entries, oldest, oldest+1)
	return true
}

// set replaces the contents of a row.
func (c *Core) set(now monotime.Instant, e *entry, m Member) {
	c.updateGraph(e, m)
	if m.State == Alive {
		e.left = false
	}
	e.Member = m
	e.left = e.left || m.State == Leaving || m.State == Gone
	e.since = now
	e.digest = digestOf(m)
	c.bucketDigests = nil
	c.viewDirty = true
}

// push sends updates to the linked neighbours, except to the one they came from.
func (c *Core) push(updates []wire.MemberUpdate, from string, eff Effects) {
	if len(updates) == 0 {
		return
	}
	c.refreshGraph()
	for _, id := range c.neighbours {
		if ct := c.contacts[id]; id != from && ct != nil && ct.up {
			c.sendUpdates(id, updates, eff)
		}
	}
}

func (c *Core) pushSelf(eff Effects) {
	c.push([]wire.MemberUpdate{toWire(c.self)}, "", eff)
}

func (c *Core) sendUpdates(to string, updates []wire.MemberUpdate, eff Effects) {
	for part := range slices.Chunk(updates, maxUpdatesPerFrame) {
		eff.SendPeer(to, &wire.Envelope{Members: part})
	}
}

// sendSync sends a peer this member's own update and starts a comparison of tables.
func (c *Core) sendSync(now monotime.Instant, to string, ct *contact, eff Effects) {
	c.stats.Syncs++
	ct.syncedAt = now
	ct.mismatches = 0
	eff.SendPeer(to, &wire.Envelope{
		Members:    []wire.MemberUpdate{toWire(c.self)},
		MemberSync: &wire.MemberSync{Buckets: c.buckets()},
	})
}

// OnSync answers a comparison of tables with the rows of each bucket that differs. The
// requester then answers the reply, so both sides receive the differences.
func (c *Core) OnSync(now monotime.Instant, from string, sync *wire.MemberSync, eff Effects) {
	c.detectPause(now, eff)
	c.receivedFrom(now, from)
	if len(sync.Buckets) != SyncBuckets {
		return
	}
	own := c.buckets()
	var updates []wire.MemberUpdate
	for _, e := range c.entries {
		if own[e.bucket] != sync.Buckets[e.bucket] && e.ID != from {
			updates = append(updates, toWire(e.Member))
		}
	}
	if own[bucketOf(c.self.ID)] != sync.Buckets[bucketOf(c.self.ID)] {
		updates = append(updates, toWire(c.self))
	}
	c.sendUpdates(from, updates, eff)
	if !sync.Reply {
		eff.SendPeer(from, &wire.Envelope{MemberSync: &wire.MemberSync{Buckets: own, Reply: true}})
	}
}

// buckets returns the digests of the table, which must not be modified. Tombstones are
// left out, because members drop them at different times. A member that is dead here and
// alive there still makes a difference.
func (c *Core) buckets() []int {
	if c.bucketDigests != nil {
		return c.bucketDigests
	}
	c.bucketDigests = make([]int, SyncBuckets)
	for _, e := range c.entries {
		if e.State.present() {
			c.bucketDigests[e.bucket] ^= int(e.digest)
		}
	}
	c.bucketDigests[bucketOf(c.self.ID)] ^= int(digestOf(c.self))
	return c.bucketDigests
}

// digest returns one number for the whole table, never zero.
func (c *Core) digest() int {
	sum := 0
	for i, b := range c.buckets() {
		sum = (sum*31 + b + i) & 0xffffffff
	}
	return max(sum, 1)
}

func digestOf(m Member) uint32 {
	var b strings.Builder
	b.WriteString(m.ID)
	b.WriteByte(0)
	b.WriteString(m.Incarnation)
	b.WriteByte(byte(m.State))
	for shift := 0; shift < 64; shift += 8 {
		b.WriteByte(byte(m.Epoch >> shift))
	}
	return uint32(hash64(b.String()))
}

func bucketOf(id string) int {
	return int(hash64(id) % SyncBuckets)
}

// expire ends suspicions that were not refuted and removes expired tombstones.
func (c *Core) expire(now monotime.Instant) {
	for _, e := range c.entries {
		if e.State == Suspect && now.Sub(e.since) >= SuspicionTimeout {
			m := e.Member
			m.State = Dead
			if e.left {
				m.State = Gone
			}
			c.set(now, e, m)
			c.stats.Died++
		}
	}
	before := len(c.entries)
	c.entries = slices.DeleteFunc(c.entries, func(e *entry) bool {
		return !e.State.present() && now.Sub(e.since) >= tombstoneTTL
	})
	if len(c.entries) != before {
		c.viewDirty = true
	}
}

func nextBackoff(d time.Duration, first, limit time.Duration) time.Duration {
	return min(max(first, 2*d), limit)
}

func toWire(m Member) wire.MemberUpdate {
	u := wire.MemberUpdate{
		ID:          m.ID,
		Incarnation: m.Incarnation,
		State:       string(stateCodes[m.State]),
		Epoch:       int(m.Epoch),
	}
	if m.State.present() && m.State != Suspect {
		u.DataCentre = m.DataCentre
		u.CallerAddress = m.CallerAddress
		u.PeerAddress = m.PeerAddress
	}
	return u
}

func fromWire(u wire.MemberUpdate) (Member, bool) {
	state := slices.Index(stateCodes[:], wire.MemberState(u.State))
	if state < 0 || u.ID == "" || u.Epoch < 0 {
		return Member{}, false
	}
	return Member{
		ID:            u.ID,
		Incarnation:   u.Incarnation,
		DataCentre:    u.DataCentre,
		CallerAddress: u.CallerAddress,
		PeerAddress:   u.PeerAddress,
		State:         State(state),
		Epoch:         uint64(u.Epoch),
	}, true
}
