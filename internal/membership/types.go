// Package membership maintains the list of fleet members. Each member keeps links to a
// few neighbours only: its successor and predecessor on several rings, each ordered by a
// different hash of the member IDs. Heartbeats and updates travel over these links, so
// the cost per member does not grow with the fleet.
//
// The package does no I/O: the shell passes in ticks and messages, and sends what the
// core hands to Effects. All state is soft. A wrong view costs quality (who owns a group,
// which shares apply) and never breaks the at-most-once guarantee.
package membership

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// Timing of the protocol.
const (
	// TickInterval is how often the shell should call Tick. It must be well below
	// PauseThreshold, or delayed ticks count as pauses.
	TickInterval = 250 * time.Millisecond
	// PingInterval is the time between heartbeats on a link. A longer one leaves fewer
	// heartbeats within HeartbeatTimeout; a shorter one adds traffic on each link.
	PingInterval = time.Second
	// HeartbeatTimeout is how long a linked neighbour may send nothing before it is
	// suspected. At PingInterval or below, a single late heartbeat raises a suspicion.
	HeartbeatTimeout = 3 * time.Second
	// LostLinkGrace is how long a neighbour whose link was lost may stay without one.
	// Links are replaced within milliseconds while the process runs; a longer grace only
	// delays the detection of a crash.
	LostLinkGrace = time.Second
	// DialTimeout is how long the first link to a neighbour may take. A shorter one
	// suspects running members that are slow to accept a link.
	DialTimeout = 3 * time.Second
	// SuspicionTimeout is how long a suspected member has to refute. Updates cross 360
	// members in well under a second; a shorter timeout than the way there and back
	// declares running members dead.
	SuspicionTimeout = 2 * time.Second
	// PauseThreshold is the gap between ticks that counts as a pause. It must be below
	// HeartbeatTimeout, or a process that resumes suspects its neighbours for its own
	// pause.
	PauseThreshold = 2 * time.Second
	// ProbeInterval is the mean time between attempts to reach a member that is listed or
	// was alive but is unreachable. It bounds how long partitioned parts of the fleet
	// take to find each other again.
	ProbeInterval = 5 * time.Second

	// probeTimeout is how long a probe dials one member. A longer one spends more of the
	// time on members that are down; a shorter one may give up on a slow link.
	probeTimeout = 4 * time.Second
	// candidateBackoff is the first wait, doubled up to maxSuspectBackoff, for which a
	// listed instance that does not answer stays out of the graph. A shorter one changes
	// neighbours more often for instances that do not run.
	candidateBackoff = 15 * time.Second
	// suspectBackoff is the first time between two suspicions of the same member, doubled
	// up to maxSuspectBackoff. With shorter ones a path that flaps sends a suspicion and
	// a refutation through the fleet every few seconds.
	suspectBackoff    = 10 * time.Second
	maxSuspectBackoff = 60 * time.Second
	// suspectBackoffReset is the time after a suspicion at which the backoff starts over.
	// At maxSuspectBackoff or below, the backoff would be reset between suspicions.
	suspectBackoffReset = 5 * time.Minute
	// conflictBackoff is the minimum time between refutations of another process with the
	// same ID. With a shorter one the two flood the fleet with updates.
	conflictBackoff = 5 * time.Second
	// syncBackoff is the minimum time between two comparisons of tables with a peer
	// because of mismatches. A shorter one repeats them while updates are in transit.
	syncBackoff = 2 * time.Second
	// tombstoneTTL is how long a dead or gone member is kept. It bounds how long members
	// beyond a partition are counted and probed without being listed; a longer one fills
	// the table with replaced members.
	tombstoneTTL = 2 * time.Hour
	// unlistedGrace is how long a dead member that the platform does not list still
	// counts as running. The list lags, so a shorter one may leave out one that runs.
	unlistedGrace = time.Minute
)

// Sizes of the protocol.
const (
	// Rings is the number of rings; a member has at most 2*Rings neighbours. Fewer rings
	// leave fewer paths for updates when members fail, more rings cost more heartbeats.
	Rings = 3
	// MaxMembers bounds the table, tombstones included. Updates about further members are
	// dropped when no tombstone can be evicted.
	MaxMembers = 4096
	// SyncBuckets is the number of digests by which two tables are compared. Peers must
	// use the same number: a sync with another one is ignored.
	SyncBuckets = 32

	// maxUpdatesPerFrame bounds the updates in a frame; longer lists are split. A larger
	// frame occupies the link for longer, smaller ones add overhead.
	maxUpdatesPerFrame = 64
	// mismatchesForSync is the number of consecutive digest mismatches that starts a
	// comparison of tables. With 1, every update in transit starts one; each more delays
	// the repair of a lost update by a heartbeat.
	mismatchesForSync = 2
)

// State is the recorded state of a member. Later states supersede earlier ones of the
// same epoch.
type State uint8

// States.
const (
	// Alive members answer heartbeats.
	Alive State = iota
	// Leaving members finish their work and take no new work.
	Leaving
	// Suspect members failed to answer a neighbour and may still refute.
	Suspect
	// Dead members did not refute in time.
	Dead
	// Gone members announced their end.
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

// rank orders the states of one epoch. Alive and Leaving never share an epoch at their
// source, so they need no order.
func (s State) rank() int {
	return max(0, int(s)-int(Leaving))
}

// Member is one incarnation of one instance.
type Member struct {
	// ID of the instance.
	ID string
	// Incarnation of its process.
	Incarnation string
	// DataCentre that the instance is located in.
	DataCentre string
	// CallerAddress is host and port for callers.
	CallerAddress string
	// PeerAddress is host and port for peers.
	PeerAddress string
	// State as recorded.
	State State
	// Epoch orders updates about one ID. Only the member itself raises it. A process may
	// start from the seconds of its wall clock: that orders incarnations where clocks
	// agree, and refutation corrects the order where they do not.
	Epoch uint64
}

// Target is a peer to keep a link to.
type Target struct {
	// ID of the instance; empty for a seed, of which only the address is known.
	ID string
	// Address is host and port for peers.
	Address string
}

// View is a member's view of the fleet at one time. It is immutable.
type View struct {
	// Version grows with each change.
	Version uint64
	// Self is the member that holds the view.
	Self Member
	// Live holds the members that take work, suspects and Self included, by ID.
	Live []Member
	// Leaving holds the members that finish their work, by ID.
	Leaving []Member
	// Missing holds the members that became unresponsive and may still run, paused or in
	// another part of the fleet, by ID.
	Missing []Member
	// MemberCount counts the live members and those that are unreachable but assumed to run in
	// another part of the fleet.
	MemberCount int
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

// FindMissing returns the member if that incarnation became unresponsive and may still
// run.
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

// Effects receives the actions that the core requests of its shell.
type Effects interface {
	// SendPeer queues an envelope on the link to a member. It must not block. An envelope
	// without a link is dropped; later syncs repair the loss.
	SendPeer(to string, env *wire.Envelope)
}

// Stats counts events since the start.
type Stats struct {
	// Suspected counts neighbours that this member itself suspected.
	Suspected uint64
	// Refuted counts updates about itself that this member refuted.
	Refuted uint64
	// Died counts members that it declared dead.
	Died uint64
	// Accepted and Repeated count updates that did and did not change the table.
	Accepted, Repeated uint64
	// Syncs counts comparisons of tables that it started.
	Syncs uint64
	// Pauses counts pauses of its own process.
	Pauses uint64
	// Conflicts counts updates about another running process with its ID.
	Conflicts uint64
	// Overflows counts updates dropped because the table was full.
	Overflows uint64
}

// entry is a row of the table.
type entry struct {
	Member
	rings  [Rings]uint64
	bucket int
	digest uint32
	since  monotime.Instant
	// left is sticky for an incarnation: a leaving member that becomes unresponsive has
	// left, and is not assumed to run on the far side of a partition.
	left bool
	// listing is how the platform's last list names the ID.
	listing listing
	// listedLive and listedLeaving are set by what the platform listed while this
	// incarnation was recorded.
	listedLive, listedLeaving bool
	// unlisted is set if the platform no longer lists a dead member.
	unlisted bool
}

// listing is how the platform lists an ID.
type listing uint8

const (
	notListed listing = iota
	listedAsLive
	listedAsLeaving
)

// contact is the state of this member's own contact with one peer.
type contact struct {
	up            bool
	neighbour     bool
	requiredSince monotime.Instant
	receivedAt    monotime.Instant
	downAt        monotime.Instant
	pingedAt      monotime.Instant
	syncedAt      monotime.Instant
	mismatches    int
	// suspected is set when a suspicion is raised, and cleared when the peer sends again.
	suspected   bool
	suspectedAt monotime.Instant
	backoff     time.Duration
}

// candidate is a listed instance that no peer has reported.
type candidate struct {
	id      string
	address string
	rings   [Rings]uint64
	listing listing
	retry   monotime.Instant
	backoff time.Duration
}
