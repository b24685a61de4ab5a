package confsync

// EventKind is the kind of an event.
type EventKind string

// Event kinds.
const (
	// EventInstalled reports a revision that took effect.
	EventInstalled EventKind = "installed"
	// EventRefused reports a revision that failed its checks. The previous one stays in
	// force.
	EventRefused EventKind = "refused"
	// EventConflict reports different content under the revision number in force.
	EventConflict EventKind = "conflict"
	// EventCorrupted reports a value that does not match its hash.
	EventCorrupted EventKind = "corrupted"
	// EventStale reports a platform answer older than the revision in force.
	EventStale EventKind = "stale"
	// EventPlatform reports a failed call to the platform.
	EventPlatform EventKind = "platform"
)

// Event is an event reported to operators.
type Event struct {
	Kind EventKind
	// Revision is the revision concerned; 0 for none.
	Revision uint64
	// Hash is the hash of the revision's manifest or of the value.
	Hash string
	// From is the neighbour that sent the data; empty for the platform.
	From string
	// Err is the cause, or nil.
	Err error
}
