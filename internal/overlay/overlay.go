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
	// maxMeshSize is the largest fleet in which all are linked to each other: a message
	// to 15 peers costs less than three hops take.
	maxMeshSize = 16
	// MemberTTL is how long an instance that is not reached is still known: the
	// longest restart of a machine and some more.
	MemberTTL = time.Minute
	// detachedGrace is how long an instance without any link goes on believing in the
	// others. Both of its hubs may be killed at once; it has new ones within some
	// hundred milliseconds, and would forget all that runs on the servers otherwise.
	detachedGrace = time.Second
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
	mesh, hub          bool
	primary            string // the hub subscribed to, of an instance that is none
	detachedSince      monotime.Instant
	unknownOrigin      bool // an incarnation was heard of that is no member's
	membersRequestedAt monotime.Instant

	out           outbox
	staleness     staleness
	missedUpdates int // news that never came
}

// member is another instance.
type member struct {
	wire.RelayMember
	linked  bool
	leaving bool
	// reachable: it can be reached over the links that are known of.
	reachable bool
	// hub as of the last Refresh. It stays when the member is lost.
	hub    bool
	lostAt monotime.Instant
	// receivedAt is when something last came over its link.
	receivedAt monotime.Instant
	// outFeed is what it inFeed of this instance, inFeed what this one inFeed of it.
	outFeed, inFeed Feed
	// neighbours are the incarnations that it says it is linked to.
	neighbours []string
	// lastNumber is the number of its lastNumber news that was taken, and nextStateNumber that of the lastNumber
	// state that was, plus one.
	lastNumber, nextStateNumber int
	clock                       linkClock
	// hash orders members of the same strength, and affinity those that this instance
	// may subscribe to; least first.
	hash     uint64
	hubScore float64
	// dialingSince is since when a link is wanted in vain, avoidUntil when it is tried
	// first again, and surplusSince since when a link is not needed; 0 for neither.
	dialingSince, avoidUntil, surplusSince monotime.Instant
}

// New returns the Node of an instance that knows nobody.
func New(self wire.RelayMember, seeds []string, now monotime.Instant) *Node {
	return &Node{
		self: self, seeds: seeds, mesh: true, detachedSince: now,
		members: make(map[string]*member), incarnations: make(map[string]*member),
	}
}

// SetSeeds replaces the addresses to start from.
func (n *Node) SetSeeds(seeds []string) { n.seeds = seeds }

// Self returns what others are told of this instance.
func (n *Node) Self() wire.RelayMember { return n.self }

// LinkUp notes an open link. It reports whether the peer's former process is gone,
// of which nothing holds any more.
func (n *Node) LinkUp(peer wire.RelayMember, now monotime.Instant) (replaced bool) {
	m := n.members[peer.ID]
	if m == nil || m.Incarnation != peer.Incarnation {
		replaced = m != nil
		m = n.replaceMember(peer)
	}
	m.linked, m.reachable, m.receivedAt, m.clock = true, true, now, linkClock{}
	m.outFeed, m.inFeed = FeedNone, FeedUnchanged
	m.dialingSince, m.avoidUntil, m.surplusSince = 0, 0, 0
	n.detachedSince = 0
	n.out.newPeers = append(n.out.newPeers, peer)
	return replaced
}

// LinkDown notes that a link ended.
func (n *Node) LinkDown(id string, now monotime.Instant) {
	m := n.members[id]
	if m == nil || !m.linked {
		return
	}
	m.linked = false
	m.outFeed, m.inFeed = FeedNone, FeedUnchanged
	if len(n.Linked()) == 0 {
		n.detachedSince = now
	}
}

// Leave notes that this instance is leaving: it is no hub for others any more.
func (n *Node) Leave() { n.leaving = true }

// replaceMember makes told the member of its id, in place of another process's.
func (n *Node) replaceMember(peer wire.RelayMember) *member {
	n.removeMember(peer.ID)
	m := &member{RelayMember: peer, hash: hash(peer.ID)}
	m.hubScore = hubScore(n.self.ID, m)
	n.members[peer.ID] = m
	n.incarnations[peer.Incarnation] = m
	n.list = append(n.list, m)
	slices.SortFunc(n.list, func(a, b *member) int { return strings.Compare(a.ID, b.ID) })
	return m
}

func (n *Node) removeMember(id string) {
	old := n.members[id]
	if old == nil {
		return
	}
	delete(n.members, id)
	delete(n.incarnations, old.Incarnation)
	n.list = slices.DeleteFunc(n.list, func(m *member) bool { return m == old })
}

// mergeMembers takes the members that a peer tells of. A process is not replaced while it can
// be reached: old news of an earlier one may still be on the way.
func (n *Node) mergeMembers(members []wire.RelayMember, now monotime.Instant) (changed bool) {
	for _, t := range members {
		if t.ID == n.self.ID || t.ID == "" || t.Incarnation == "" {
			continue
		}
		m := n.members[t.ID]
		if m == nil || m.Incarnation != t.Incarnation && !m.reachable && !m.linked {
			n.replaceMember(t).lostAt = now
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

// Reachable returns this instance and those that can be reached.
func (n *Node) Reachable() []wire.RelayMember {
	out := []wire.RelayMember{n.self}
	for _, m := range n.list {
		if m.reachable {
			out = append(out, m.RelayMember)
		}
	}
	return out
}

// Staying returns the other instances that can be reached and do not leave.
func (n *Node) Staying() []wire.RelayMember {
	var out []wire.RelayMember
	for _, m := range n.list {
		if m.reachable && !m.leaving {
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
	reached := n.Reachable()
	if 2*len(reached) >= n.MemberCount() {
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

// MemberCount returns the number of instances that can be reached or could be lately, this
// one among them.
func (n *Node) MemberCount() int { return 1 + len(n.members) }

// MissedUpdates returns how many news of other instances never came.
func (n *Node) MissedUpdates() int { return n.missedUpdates }

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
		if !m.reachable {
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
