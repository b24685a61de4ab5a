package servers

import (
	"strconv"
	"time"
)

// Server is one incarnation of an upstream server. Values are not changed once
// they are in a Registry.
type Server struct {
	// ID of the incarnation, see Incarnation; a new start has a new one.
	ID string
	// Name of the server, which it keeps when it starts again.
	Name string
	// Born is the Unix millisecond of its start by its own clock; 0 when it does
	// not tell. Of two incarnations of a name the one born later is the newer.
	Born int64
	// Service it belongs to.
	Service string
	// Address is host and port. It may be given to another service later.
	Address string
	// DataCentre it stands in.
	DataCentre string
	// Slots is the number of requests it runs at once.
	Slots int
	// ColdLeft is how much longer it is cold, as of when this is learned: it bears few
	// requests then, see Registry.ColdUntil. A Registry returns it as 0.
	ColdLeft time.Duration
	// Draining servers take no new requests.
	Draining bool
	// Invalid says that the newest entry under the name can't be read. It names no
	// server to use until one that can be read follows.
	Invalid bool
	// Revision of the store at which this was so.
	Revision Revision
}

// Incarnation returns the id of one start of a named server. Everything that is
// known of a server hangs on it, so that a server which starts again under its
// name is not taken to keep, to run or to refuse what its former start did.
func Incarnation(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + bornSeparator + strconv.FormatInt(born, 10)
}

// bornSeparator stands between name and birth in the id of an incarnation.
const bornSeparator = "@"

// EntryRef is an entry without content: one that ended, or one that can't be read.
type EntryRef struct {
	// Name of the server.
	Name string
	// Revision of the store at which this was so.
	Revision Revision
}

// Change tells what an update did.
type Change uint8

// Changes.
const (
	// Unchanged: the update was known or older than what is known.
	Unchanged Change = iota
	// Added: the server is new, or came back.
	Added
	// Updated: an entry changed.
	Updated
	// InGrace: the entry is missing, and may come back.
	InGrace
	// Removed: the server is gone.
	Removed
)

// String names the change for logs.
func (c Change) String() string {
	return [...]string{"unchanged", "added", "updated", "lapsing", "removed"}[c]
}
