package gateway

import (
	"context"
	"time"

	"basilrudder/internal/eventlog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/timer"
)

const (
	// versionReadInterval is the least time between the starts of two reads.
	versionReadInterval = 20 * time.Millisecond
	// versionReadWait is how long the store may wait for changes in a read. What it has is
	// returned at once.
	versionReadWait = time.Millisecond
)

// versionReads reads the changes of the store at once, for conclusions that need a view of the
// servers that is newer than what they are about.
type versionReads struct {
	sync *storeSync
	// turn holds a token while a read is under way, which guards readAt: when the last read
	// began that was applied.
	turn   chan struct{}
	readAt monotime.Instant
}

func newVersionReads(f *storeSync) *versionReads {
	return &versionReads{sync: f, turn: make(chan struct{}, 1), readAt: never}
}

// confirm reports whether all changes are applied here that the store had at an instant. Calls
// that wait for the same read share it. An instance that does not follow the store can't tell.
func (v *versionReads) confirm(ctx context.Context, at monotime.Instant) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	select {
	case v.turn <- struct{}{}:
		defer func() { <-v.turn }()
	case <-ctx.Done():
		return false
	}
	if v.readAt >= at {
		return true
	}
	// After an outage of the store its first answer is applied with care, by run.
	after := v.sync.complete()
	if after == 0 || v.sync.failures.Load() > 0 || !timer.Sleep(v.readAt.Add(versionReadInterval).Sub(monotime.Now()), ctx.Done()) {
		return false
	}
	begun := monotime.Now()
	changes, err := v.sync.source.Watch(ctx, after, versionReadWait)
	if err != nil {
		v.sync.log.Info("versions_unconfirmed", eventlog.Cause(err))
		return false
	}
	v.sync.applyChanges(changes)
	v.readAt = begun
	return true
}
