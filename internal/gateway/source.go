// Package gateway implements an instance that relays requests: it follows the store,
// keeps links to the other instances, and connects the relay to both.
package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/routing"
	"basilrudder/internal/servers"
)

// ErrHistoryLost reports that the store no longer has the changes since a revision, or
// has begun a new era; everything must be read again.
var ErrHistoryLost = errors.New("gateway: the store's history is lost")

// ErrNotWanted reports that a listing was given up because it was no longer wanted.
var ErrNotWanted = errors.New("gateway: the listing is no longer wanted")

// Changes holds what the store published. The order of elements has no meaning; only
// revisions order them.
type Changes struct {
	// Config is the newest configuration among them, or nil.
	Config *routing.Config
	// Servers holds the entries as they were written.
	Servers []servers.Server
	// Removals holds the entries that were removed or expired. Those of a listing were
	// removed while it was read.
	Removals []servers.EntryRef
	// Invalid holds the entries that cannot be read.
	Invalid []servers.EntryRef
	// Evacuations holds those that began or, in a watch, ended.
	Evacuations []servers.Evacuation
	// Revision is the revision up to which the changes are complete.
	Revision servers.Revision
}

// StoreCalls counts the calls of a process to the store by what they were for. The store
// counts each of them, also those that fail.
type StoreCalls struct {
	// Pages of listings, and StalePages those of them that may be stale.
	Pages      int64 `json:"pages"`
	StalePages int64 `json:"stale_pages"`
	// ChangedWatches ended with changes, and EmptyWatches without any.
	ChangedWatches int64 `json:"changed_watches"`
	EmptyWatches   int64 `json:"empty_watches"`
	// Configs are reads of the configuration alone.
	Configs int64 `json:"configs"`
	// Failed calls of any kind, which the other counters do not include, and TimedOut those
	// of them that had no whole answer in time.
	Failed   int64 `json:"failed"`
	TimedOut int64 `json:"timed_out"`
	// SlowestPage is the longest time that a page took to arrive, in milliseconds.
	SlowestPage int64 `json:"slowest_page_ms"`
}

// Source reads the store. The store counts every call.
type Source interface {
	// All reads everything: the configuration and every server's entry. Changes after its
	// Revision may or may not be included. It bounds the time of each call to the store,
	// continues with the call that failed at last, and fails with ErrNotWanted if wanted,
	// which it calls between two calls and which may wait, reports false.
	All(ctx context.Context, wanted func() bool) (*Changes, error)
	// Watch waits until there are changes after a revision, for wait at most. It fails
	// with ErrHistoryLost if the store no longer has them.
	Watch(ctx context.Context, after servers.Revision, wait time.Duration) (*Changes, error)
	// Config reads the newest configuration; nil if there is none yet.
	Config(ctx context.Context) (*routing.Config, error)
	// Calls returns the calls made so far. It may be called concurrently with the others.
	Calls() StoreCalls
}
