// Package overlay decides which instances are linked, and over which links the updates of
// each one reach all others.
//
// In a small fleet every instance is linked to every other one and sends updates
// directly. In a larger fleet that would take one message for each pair of instances, so
// some instances of each data centre act as hubs. Hubs are linked to each other. Any
// other instance is linked to two hubs and subscribes to one of them: it sends its
// updates to that hub and receives the updates of all others from it. A hub batches what
// it receives for some milliseconds. It sends the updates of its own subscribers to the
// other hubs, and all updates to its subscribers, each in one message. An update
// therefore takes three hops.
//
// There is no election: each instance computes the hubs from the members it has recorded,
// and what a peer sends depends on the feed that the receiver requested. While two
// instances disagree on who is a hub, updates take another path or arrive late. Updates
// are numbered by their origin and a receiver applies each number once, so none is
// counted twice.
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

// Feed is the set of updates that an instance requests from a peer.
type Feed int

// Feeds, as encoded in messages.
const (
	// FeedUnchanged: no request.
	FeedUnchanged Feed = iota
	// FeedNone: only the peer's own status, sent periodically.
	FeedNone
	// FeedGroup: the updates of the peer and of its subscribers.
	FeedGroup
	// FeedAll: all updates that the peer receives. An instance that requests it is a
	// subscriber.
	FeedAll
)

const (
	// maxMeshSize is the largest fleet in which all instances are linked to each other.
	// Up to it, a message to 15 peers costs less than the delay of three hops.
	maxMeshSize = 16
	// MemberTTL is how long an unreachable instance is kept. It exceeds the longest
	// restart of a machine; a shorter one would drop instances that are restarting.
	MemberTTL = time.Minute
	// detachedGrace is how long an instance without any link goes on treating the others
	// as reachable. Both of its hubs may be killed at once, and it has new ones within
	// some hundred milliseconds; a shorter time would make it discard all recorded runs
	// on the servers.
	detachedGrace = time.Second
)

// Node is one instance's state of the others and of the paths to them.
type Node struct {
	self    wire.RelayMember
	seeds   []string
	members map[string]*member // by instance id
	list    []*member          // the same, sorted by id
	// incarnations holds the same members by the incarnation of their process.
	incarnations map[string]*member

	leaving bool
	// topologyChanged is set when a link, a member or its report has changed since the
	// last Refresh. Otherwise the reachable members and the hubs are still the same.
	topologyChanged bool
	// mesh and hub are the role of this instance as of the last Refresh.
	mesh, hub        bool
	primary          string // the hub that a subscriber subscribes to
	detachedSince    monotime.Instant
	unknownOrigin    bool // an incarnation that is no member's was received
	unknownNeighbour bool // a member reports a link to one
	// differingPeer is the last peer found to have recorded other members; empty for none.
	differingPeer      string
	membersRequestedAt monotime.Instant

	out           outbox
	staleness     staleness
	missedUpdates int // updates that never arrived
}

// member is another instance.
type member struct {
	wire.RelayMember
	linked  bool
	leaving bool
	// fullUntil is until when it should get no new callers; 0 for no such time.
	fullUntil monotime.Instant
	// reachable is set if a path over recorded links leads to the member.
	reachable bool
	// hub is as of the last Refresh. It is kept when the member is lost.
	hub    bool
	lostAt monotime.Instant
	// receivedAt is when something last came over the member's link.
	receivedAt monotime.Instant
	// outFeed is what the member requested from this instance, inFeed what this instance
	// requested from it.
	outFeed, inFeed Feed
	// neighbours are the incarnations of the peers that it reports links to.
	neighbours []string
	// lastNumber is the number of its last accepted update, and nextStateNumber the
	// lowest number at which a full state is accepted.
	lastNumber, nextStateNumber int
	clock                       linkClock
	// hash orders members of equal capacity, and hubScore the hubs that this instance may
	// subscribe to; lowest first.
	hash     uint64
	hubScore float64
	// dialingSince is since when a needed link has been missing, avoidUntil the end of
	// the time in which others are dialled first, and surplusSince when the link ceased
	// to be needed. 0 means none.
	dialingSince, avoidUntil, surplusSince monotime.Instant
}

// New returns the Node of an instance with no members.
func New(self wire.RelayMember, seeds []string, now monotime.Instant) *Node {
	return &Node{
		self: self, seeds: seeds, mesh: true, detachedSince: now, topologyChanged: true,
		members: make(map[string]*member), incarnations: make(map[string]*member),
	}
}

// SetSeeds replaces the addresses to start from.
func (n *Node) SetSeeds(seeds []string) { n.seeds = seeds }

// Self returns how this instance describes itself to others.
func (n *Node) Self() wire.RelayMember { return n.self }

// LinkUp records an open link. It reports whether it replaced the peer's former process,
// whose state must be discarded.
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
	n.topologyChanged = true
	return replaced
}

// LinkDown records that a link ended.
func (n *Node) LinkDown(id string, now monotime.Instant) {
	m := n.members[id]
	if m == nil || !m.linked {
		return
	}
	m.linked = false
	n.topologyChanged = true
	m.outFeed, m.inFeed = FeedNone, FeedUnchanged
	if len(n.Linked()) == 0 {
		n.detachedSince = now
	}
}

// Leave records that this instance is leaving: it no longer acts as a hub.
func (n *Node) Leave() { n.leaving, n.topologyChanged = true, true }

// replaceMember makes peer the member of its id, in place of another process's.
func (n *Node) replaceMember(peer wire.RelayMember) *member {
	n.removeMember(peer.ID)
	n.topologyChanged = true
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
	n.topologyChanged = true
	delete(n.members, id)
	delete(n.incarnations, old.Incarnation)
	n.list = slices.DeleteFunc(n.list, func(m *member) bool { return m == old })
}

// mergeMembers adds the members that a peer reports. A process is not replaced while it
// is reachable: outdated updates of an earlier one may still arrive.
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

// Linked returns the ids of the peers with a link, sorted.
func (n *Node) Linked() []string {
	var out []string
	for _, m := range n.list {
		if m.linked {
			out = append(out, m.ID)
		}
	}
	return out
}

// Reachable returns this instance and the reachable members.
func (n *Node) Reachable() []wire.RelayMember {
	out := []wire.RelayMember{n.self}
	for _, m := range n.list {
		if m.reachable {
			out = append(out, m.RelayMember)
		}
	}
	return out
}

// Staying returns the other instances that are reachable and not leaving.
func (n *Node) Staying() []wire.RelayMember {
	var out []wire.RelayMember
	for _, m := range n.list {
		if m.reachable && !m.leaving {
			out = append(out, m.RelayMember)
		}
	}
	return out
}

// TakingCallers returns those of Staying that should get new callers.
func (n *Node) TakingCallers(now monotime.Instant) []wire.RelayMember {
	return slices.DeleteFunc(n.Staying(), func(m wire.RelayMember) bool {
		until := n.members[m.ID].fullUntil
		return until != 0 && now < until
	})
}

// Stays reports whether a process is reachable and not leaving.
func (n *Node) Stays(id, incarnation string) bool {
	m := n.members[id]
	return m != nil && m.Incarnation == incarnation && m.reachable && !m.leaving
}

// Sharers returns the sorted ids of the instances, this one included, among which a limit
// of the whole fleet is divided: the reachable ones. If those are fewer than half of the
// recorded ones, this instance is probably cut off from the others, which go on using
// their shares; in that case the unreachable ones count as well.
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

// MemberCount returns the number of instances that are reachable or were recently,
// including this one.
func (n *Node) MemberCount() int { return 1 + len(n.members) }

// MissedUpdates returns how many updates of other instances never arrived.
func (n *Node) MissedUpdates() int { return n.missedUpdates }

// Role names what the instance does for the others, for logs.
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

// Primary returns the hub that this instance subscribes to, or the empty string.
func (n *Node) Primary() string { return n.primary }

// Rank returns this instance's place in an order of the reachable instances that all
// agree on, hubs first, and the number of instances in it.
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
