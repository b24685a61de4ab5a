// Package overlay decides which relaying instances are linked, and over which links
// the news of each one reach all others.
//
// In a small fleet every instance is linked to every other one and tells it
// directly. In a larger one that would be a message for each pair of instances, so
// some instances of each data centre act as hubs. Hubs are linked to each other. Any
// other instance is linked to two hubs and subscribes to one of them: it tells the hub
// its news, and hears from it those of all others. A hub gathers what it hears for some
// milliseconds and passes it on in one message, to the other hubs what its own
// subscribers told, and to its subscribers everything. So news take three hops.
//
// Nothing is elected: each instance works out the hubs from the members that it
// knows, and what a peer sends follows from what the receiver asked it for. While two
// instances disagree on who is a hub, news take another way or come late; a receiver
// takes each news of an origin once, by its number, so they never count twice.
//
// A Node is not safe for concurrent use, reads no clock and sends nothing itself.
package overlay

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// Feed is what an instance wants of the news of a peer.
type Feed int

// Feeds, as they stand in messages.
const (
	// FeedUnchanged: nothing is asked.
	FeedUnchanged Feed = iota
	// FeedNone: only what the peer says of itself now and then.
	FeedNone
	// FeedGroup: the news of the peer and of its subscribers.
	FeedGroup
	// FeedAll: all news that the peer hears. Who asks for it is a subscriber.
	FeedAll
)

const (
	// meshMost is the largest fleet in which all are linked to each other: a message
	// to 15 peers costs less than three hops take.
	meshMost = 16
	// MemberLife is how long an instance that is not reached is still known: the
	// longest restart of a machine and some more.
	MemberLife = time.Minute
	// detachedAfter is how long an instance without any link goes on believing in the
	// others. Both of its hubs may be killed at once; it has new ones within some
	// hundred milliseconds, and would forget all that runs on the servers otherwise.
	detachedAfter = time.Second
)

// Node is what one instance knows of the others and of the ways to them.
type Node struct {
	self    wire.RelayMember
	seeds   []string
	members map[string]*member // by instance id
	list    []*member          // the same, in the order of their ids
	// incarnations has the same members by the incarnation of their process.
	incarnations map[string]*member

	leaving bool
	// mesh, hub: what this instance was at the last Refresh.
	mesh, hub  bool
	primary    string // the hub subscribed to, of an instance that is none
	detachedAt monotime.Instant
	unknown    bool // an incarnation was heard of that is no member's
	askedAt    monotime.Instant

	out       outbox
	staleness staleness
	missed    int // news that never came
}

// member is another instance.
type member struct {
	wire.RelayMember
	linked  bool
	leaving bool
	// alive: it can be reached over the links that are known of.
	alive bool
	// hub as of the last Refresh. It stays when the member is lost.
	hub    bool
	lostAt monotime.Instant
	// heardAt is when something last came over its link.
	heardAt monotime.Instant
	// wants is what it asked of this instance, asked what this one asked of it.
	wants, asked Feed
	// neighbours are the incarnations that it says it is linked to.
	neighbours []string
	// last is the number of its last news that was taken, and whole that of the last
	// state that was, plus one.
	last, whole int
	clock       linkClock
	// hash orders members of the same strength, and affinity those that this instance
	// may subscribe to; least first.
	hash     uint64
	affinity float64
	// wantedAt is since when a link is wanted in vain, avoidUntil when it is tried
	// first again, and surplusAt since when a link is not needed; 0 for neither.
	wantedAt, avoidUntil, surplusAt monotime.Instant
}

// New returns the Node of an instance that knows nobody.
func New(self wire.RelayMember, seeds []string, now monotime.Instant) *Node {
	return &Node{
		self: self, seeds: seeds, mesh: true, detachedAt: now,
		members: make(map[string]*member), incarnations: make(map[string]*member),
	}
}

// SetSeeds replaces the addresses to start from.
func (n *Node) SetSeeds(seeds []string) { n.seeds = seeds }

// Self returns what others are told of this instance.
func (n *Node) Self() wire.RelayMember { return n.self }

// LinkUp notes an open link. It reports whether the peer's former process is gone,
// of which nothing holds any more.
func (n *Node) LinkUp(told wire.RelayMember, now monotime.Instant) (replaced bool) {
	m := n.members[told.ID]
	if m == nil || m.Incarnation != told.Incarnation {
		replaced = m != nil
		m = n.put(told)
	}
	m.linked, m.alive, m.heardAt, m.clock = true, true, now, linkClock{}
	m.wants, m.asked = FeedNone, FeedUnchanged
	m.wantedAt, m.avoidUntil, m.surplusAt = 0, 0, 0
	n.detachedAt = 0
	n.out.announce = append(n.out.announce, told)
	return replaced
}

// LinkDown notes that a link ended.
func (n *Node) LinkDown(id string, now monotime.Instant) {
	m := n.members[id]
	if m == nil || !m.linked {
		return
	}
	m.linked = false
	m.wants, m.asked = FeedNone, FeedUnchanged
	if len(n.Linked()) == 0 {
		n.detachedAt = now
	}
}

// Leave notes that this instance is leaving: it is no hub for others any more.
func (n *Node) Leave() { n.leaving = true }

// put makes told the member of its id, in place of another process's.
func (n *Node) put(told wire.RelayMember) *member {
	n.remove(told.ID)
	m := &member{RelayMember: told, hash: hash(told.ID)}
	m.affinity = affinity(n.self.ID, m)
	n.members[told.ID] = m
	n.incarnations[told.Incarnation] = m
	n.list = append(n.list, m)
	slices.SortFunc(n.list, func(a, b *member) int { return strings.Compare(a.ID, b.ID) })
	return m
}

func (n *Node) remove(id string) {
	old := n.members[id]
	if old == nil {
		return
	}
	delete(n.members, id)
	delete(n.incarnations, old.Incarnation)
	n.list = slices.DeleteFunc(n.list, func(m *member) bool { return m == old })
}

// learn takes the members that a peer tells of. A process is not replaced while it can
// be reached: old news of an earlier one may still be on the way.
func (n *Node) learn(told []wire.RelayMember, now monotime.Instant) (changed bool) {
	for _, t := range told {
		if t.ID == n.self.ID || t.ID == "" || t.Incarnation == "" {
			continue
		}
		m := n.members[t.ID]
		if m == nil || m.Incarnation != t.Incarnation && !m.alive && !m.linked {
			n.put(t).lostAt = now
			changed = true
		}
	}
	return changed
}

// Linked returns the ids of the peers with a link, in order.
func (n *Node) Linked() []string {
	var out []string
	for _, m := range n.list {
		if m.linked {
			out = append(out, m.ID)
		}
	}
	return out
}

// Alive returns this instance and those that can be reached.
func (n *Node) Alive() []wire.RelayMember {
	out := []wire.RelayMember{n.self}
	for _, m := range n.list {
		if m.alive {
			out = append(out, m.RelayMember)
		}
	}
	return out
}

// Staying returns the other instances that can be reached and do not leave.
func (n *Node) Staying() []wire.RelayMember {
	var out []wire.RelayMember
	for _, m := range n.list {
		if m.alive && !m.leaving {
			out = append(out, m.RelayMember)
		}
	}
	return out
}

// Sharers returns the ids of the instances, in order and this one among them, that a
// limit of the whole fleet is shared out to: those that can be reached. When those are
// fewer than half of the known ones, this instance is likely cut off from the others,
// which go on sending what is theirs; so the lost ones still count.
func (n *Node) Sharers() []string {
	reached := n.Alive()
	if 2*len(reached) >= n.Known() {
		return memberIDs(reached)
	}
	all := []wire.RelayMember{n.self}
	for _, m := range n.list {
		all = append(all, m.RelayMember)
	}
	return memberIDs(all)
}

func memberIDs(members []wire.RelayMember) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.ID)
	}
	slices.Sort(out)
	return out
}

// Known returns the number of instances that can be reached or could be lately, this
// one among them.
func (n *Node) Known() int { return 1 + len(n.members) }

// Missed returns how many news of other instances never came.
func (n *Node) Missed() int { return n.missed }

// Role describes what the instance does for the others, for logs.
func (n *Node) Role() string {
	switch {
	case n.mesh:
		return "mesh"
	case n.hub:
		return "hub"
	default:
		return "subscriber"
	}
}

// Primary returns the hub that this instance subscribes to, if any.
func (n *Node) Primary() string { return n.primary }

// Rank returns this instance's place in an order of the reachable ones on which all
// agree, hubs first, and how many they are.
func (n *Node) Rank() (place, of int) {
	self := &member{RelayMember: n.self, hash: hash(n.self.ID), hub: n.hub}
	of = 1
	for _, m := range n.list {
		if !m.alive {
			continue
		}
		of++
		if compareRank(m, self) < 0 {
			place++
		}
	}
	return place, of
}

func compareRank(a, b *member) int {
	switch {
	case a.hub != b.hub && a.hub:
		return -1
	case a.hub != b.hub:
		return 1
	default:
		return compareHash(a.hash, b.hash, a.ID, b.ID)
	}
}

func hash(text string) uint64 { return xxhash.Sum64String(text) }
