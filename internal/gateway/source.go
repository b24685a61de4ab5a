// Package gateway is an instance that relays: it follows the store, keeps links
// to the other instances, and wires the relay to both.
package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/routing"
	"basilrudder/internal/servers"
)

// ErrHistoryLost says that the store no longer has the changes since a revision, or has
// begun a new era; everything must be read again.
var ErrHistoryLost = errors.New("gateway: the store's history is lost")

// Changes are what the store published, in no order but by revision.
type Changes struct {
	// Config is the newest configuration among them, or nil.
	Config *routing.Config
	// Servers are entries as they were written.
	Servers []servers.Server
	// Removals are entries that ended.
	Removals []servers.EntryRef
	// Invalid are entries that can't be read.
	Invalid []servers.EntryRef
	// Evacuations are those that began or, in a watch, ended.
	Evacuations []servers.Evacuation
	// Revision up to which these are all changes.
	Revision servers.Revision
}

// Source reads the store. Every call is counted there.
type Source interface {
	// All reads everything: the configuration and every server's entry. Changes
	// after its Revision may be missing from it or not.
	All(ctx context.Context) (*Changes, error)
	// Watch waits until there are changes after a revision, at most wait. It
	// fails with ErrHistoryLost when they are not known any more.
	Watch(ctx context.Context, after servers.Revision, wait time.Duration) (*Changes, error)
	// Config reads the newest configuration; nil when there is none yet.
	Config(ctx context.Context) (*routing.Config, error)
}
