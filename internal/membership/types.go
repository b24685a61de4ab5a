// Package membership decides who is in the fleet. Each member keeps links to
// a few neighbours only: its successor and predecessor on several rings, each
// ordered by another hash of the member ids. Heartbeats run on these links,
// news spreads over them, and so the cost per member does not grow with the
// fleet.
//
// The package is pure: the shell feeds it ticks and messages, and sends what
// it hands to Effects. All beliefs are soft state. A wrong belief costs quality
// (who owns a group, which shares apply) and never the at-most-once promise.
package membership

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// Timing of the protocol.
const (
	// TickInterval is how often the shell should call Tick.
	TickInterval = 250 * time.Millisecond
	// PingInterval is the time between heartbeats on a link.
	PingInterval = time.Second
	// HeartbeatTimeout is how long a neighbour may be silent before it is suspected.
	HeartbeatTimeout = 3 * time.Second
	// LostLinkGrace is how long a neighbour may be without a link once it had
	// one; links are replaced within milliseconds when the process lives.
	LostLinkGrace = time.Second
	// DialTimeout is how long a first link to a neighbour may take.
	DialTimeout = 3 * time.Second
	// SuspicionTimeout is how long a suspected member has to refute. News crosses
	// 360 members in well under a second.
	SuspicionTimeout = 2 * time.Second
	// PauseThreshold is the gap between ticks that counts as a pause.
	PauseThreshold = 2 * time.Second
	// ProbeInterval is the time between tries to reach a member that is listed
	// or was alive but is not reachable, so that parts of the fleet find each
	// other again.
	ProbeInterval = 5 * time.Second

	probeTimeout        = 4 * time.Second
	candidateBackoff    = 15 * time.Second
	suspectBackoff      = 10 * time.Second
	maxSuspectBackoff   = 60 * time.Second
	suspectBackoffReset = 5 * time.Minute
	conflictBackoff     = 5 * time.Second
	syncBackoff         = 2 * time.Second
	tombstoneTTL        = 2 * time.Hour
	unlistedGrace       = time.Minute
)

// Sizes of the protocol.
const (
	// Rings is the number of rings; a member has at most 2*Rings neighbours.
	Rings = 3
	// MaxMembers bounds the table, tombstones included.
	MaxMembers = 4096
	// SyncBuckets is the number of digests that two tables are compared by.
	SyncBuckets = 32

	maxUpdatesPerFrame = 64
	mismatchesForSync  = 2
)

// State is what is believed of a member. Later states win over earlier ones
// of the same epoch.
type State uint8

// States.
const (
	// Alive members answer heartbeats.
	Alive State = iota
	// Leaving members finish what they hold and take nothing new.
	Leaving
	// Suspect members were silent towards a neighbour and may still refute.
	Suspect
	// Dead members did not refute in time.
	Dead
	// Gone members left and said so.
	Gone
)

var stateCodes = [...]wire.MemberState{
	Alive:   wire.MemberStateA,
	Leaving: wire.MemberStateL,
	Suspect: wire.MemberStateS,
	Dead:    wire.MemberStateD,
	Gone:    wire.MemberStateG,
}

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"alive", "leaving", "suspect", "dead", "gone"}[s]
}

// present reports whether a member in the state may hold links and work.
func (s State) present() bool {
	return s <= Suspect
}

// rank orders the states of one epoch. Alive and Leaving never share an epoch
// at their source, so they need no order.
func (s State) rank() int {
	return max(0, int(s)-int(Leaving))
}

// Member is one incarnation of one instance.
type Member struct {
	// ID of the instance.
	ID string
	// Incarnation of its process.
	Incarnation string
	// DataCentre the instance stands in.
	DataCentre string
	// CallerAddress is host and port for callers.
	CallerAddress string
	// PeerAddress is host and port for peers.
	PeerAddress string
	// State believed.
	State State
	// Epoch orders news of one ID. Only the member itself raises it. A process
	// may start from the seconds of its wall clock: that orders incarnations
	// where clocks agree, and refutation corrects it where they do not.
	Epoch uint64
}

// Target is a peer to keep a link to.
type Target struct {
	// ID of the instance; empty for a seed of which only the address is known.
	ID string
	// Address is host and port for peers.
	Address string
}

// View is what a member believes of the fleet at one time. It is immutable.
type View struct {
	// Version grows with each change.
	Version uint64
	// Self is the member that holds the view.
	Self Member
	// Live holds the members that take work, suspects and Self included, by ID.
	Live []Member
	// Leaving holds the members that finish what they hold, by ID.
	Leaving []Member
	// Missing holds the members that fell silent and may still run, paused or
	// in another part of the fleet, by ID.
	Missing []Member
	// Known counts the live members and those that are out of reach but
	// believed to run in another part of the fleet.
	Known int
	// Confirmed is false from a start or a pause until a peer has answered.
	Confirmed bool
}

// Find returns the live or leaving member with the ID.
func (v *View) Find(id string) (Member, bool) {
	for _, list := range [][]Member{v.Live, v.Leaving} {
		i, found := slices.BinarySearchFunc(list, id, compareID)
		if found {
			return list[i], true
		}
	}
	return Member{}, false
}

// FindMissing returns the member if that incarnation fell silent and may still run.
func (v *View) FindMissing(id, incarnation string) (Member, bool) {
	i, found := slices.BinarySearchFunc(v.Missing, id, compareID)
	if !found || v.Missing[i].Incarnation != incarnation {
		return Member{}, false
	}
	return v.Missing[i], true
}

func compareID(m Member, id string) int {
	switch {
	case m.ID < id:
		return -1
	case m.ID > id:
		return 1
	}
	return 0
}

// Effects is what the core asks of its shell.
type Effects interface {
	// SendPeer queues an envelope on the link to a member. It must not block;
	// an envelope without a link is lost, and later syncs make up for it.
	SendPeer(to string, env *wire.Envelope)
}

// Stats counts events since the start.
type Stats struct {
	// Suspected counts neighbours that this member itself suspected.
	Suspected uint64
	// Refuted counts news of its own end that this member refuted.
	Refuted uint64
	// Died counts members that it took for dead.
	Died uint64
	// Accepted and Repeated count updates that were and were not news.
	Accepted, Repeated uint64
	// Syncs counts comparisons of tables it started.
	Syncs uint64
	// Pauses counts pauses of its own process.
	Pauses uint64
	// Conflicts counts news of another live process with its ID.
	Conflicts uint64
	// Overflows counts news dropped because the table was full.
	Overflows uint64
}

// entry is a row of the table.
type entry struct {
	Member
	rings  [Rings]uint64
	bucket int
	digest uint32
	since  monotime.Instant
	// left is sticky for an incarnation: a leaving member that falls silent
	// has left, and is not waited for on the far side of a partition.
	left bool
	// listing is what the platform's last list says of the ID.
	listing listing
	// listedLive and listedLeaving say what the platform listed while this
	// incarnation was known.
	listedLive, listedLeaving bool
	// unlisted is set when the platform stopped listing a dead member.
	unlisted bool
}

// listing is the platform's word on an ID.
type listing uint8

const (
	notListed listing = iota
	listedAsLive
	listedAsLeaving
)

// contact is the direct experience with one peer.
type contact struct {
	up            bool
	neighbour     bool
	requiredSince monotime.Instant
	receivedAt    monotime.Instant
	downAt        monotime.Instant
	pingedAt      monotime.Instant
	syncedAt      monotime.Instant
	mismatches    int
	// suspected is set once a suspicion was raised, until the peer is heard again.
	suspected   bool
	suspectedAt monotime.Instant
	backoff     time.Duration
}

// candidate is a listed instance of which no peer has told.
type candidate struct {
	id      string
	address string
	rings   [Rings]uint64
	listing listing
	retry   monotime.Instant
	backoff time.Duration
}
