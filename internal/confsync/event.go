package confsync

// EventKind is what happened.
type EventKind string

// Kinds of events.
const (
	// EventInstalled tells of a revision that took effect.
	EventInstalled EventKind = "installed"
	// EventRefused tells of a revision that failed its checks; the last good
	// one stays.
	EventRefused EventKind = "refused"
	// EventConflict tells that another instance has another content under the
	// revision number in force.
	EventConflict EventKind = "conflict"
	// EventCorrupted tells of a value that is not what its hash says.
	EventCorrupted EventKind = "corrupted"
	// EventStale tells of a platform answer older than the revision in force.
	EventStale EventKind = "stale"
	// EventPlatform tells of a call to the platform that failed.
	EventPlatform EventKind = "platform"
)

// Event is something an operator may want to know.
type Event struct {
	// Kind of the event.
	Kind EventKind
	// Revision it is about; 0 for none.
	Revision uint64
	// Hash of the revision's manifest or of the value.
	Hash string
	// From is the neighbour it came from; empty for the platform.
	From string
	// Err is the cause, or nil.
	Err error
}
