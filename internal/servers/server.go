package servers

import (
	"strconv"
	"time"
)

// Name is the name of a server, which it keeps over restarts and by which it knows itself.
// It is the only id of a server that servers understand; those of incarnations are known to
// instances alone.
type Name string

// Server is one incarnation of an upstream server. Values are not changed once they are
// in a Registry.
type Server struct {
	// ID of the incarnation, see Incarnation; each start has its own.
	ID   string
	Name Name
	// Born is the Unix millisecond of its start by its own clock; 0 if unknown. Of two
	// incarnations of a name the one with the higher value is the newer.
	Born int64
	// Service is the name of the service that it runs.
	Service string
	// Address is host and port. It may be given to another service later.
	Address string
	// DataCentre in which it is located.
	DataCentre string
	// Software is the version of its software; versions have no order.
	Software string
	// Slots is the number of requests that it runs at once.
	Slots int
	// ColdLeft is how much longer it is cold, as of when this is received. A cold server
	// sustains few requests, see Registry.ColdUntil. A Registry returns it as 0.
	ColdLeft time.Duration
	// Draining is true if it accepts no new requests.
	Draining bool
	// Invalid is true if the newest entry under the name is unreadable. The server is not
	// used until a readable one follows.
	Invalid bool
	// Revision of the store at which this was read.
	Revision Revision
}

// Incarnation returns the id of one start of a named server. All state is recorded under
// this id, so that what a former start kept, ran or refused is not attributed to the new
// one.
func Incarnation(name Name, born int64) string {
	if born == 0 {
		return string(name)
	}
	return string(name) + bornSeparator + strconv.FormatInt(born, 10)
}

// bornSeparator separates name and birth in the id of an incarnation. Instances exchange
// these ids, so all must use the same one.
const bornSeparator = "@"

// EntryRef refers to an entry without its content: one that was removed, or one that is
// unreadable.
type EntryRef struct {
	// Name of the server.
	Name Name
	// Revision of the store at which this was read.
	Revision Revision
}

// Change is the effect of an update.
type Change uint8

const (
	// Unchanged: the update was already applied or is outdated.
	Unchanged Change = iota
	// Added: the server is new or has reappeared.
	Added
	// Updated: its state changed.
	Updated
	// InGrace: its entry is missing but may reappear.
	InGrace
	// Removed: the server is gone.
	Removed
)

// String returns the name of the change in logs.
func (c Change) String() string {
	return [...]string{"unchanged", "added", "updated", "lapsing", "removed"}[c]
}
