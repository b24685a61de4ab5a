package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/confsync"
	"basilrudder/internal/monotime"
)

// platformTimeout bounds a call to the platform, in addition to the client's own timeout.
// Watches may take their wait time on top of it: without the margin, a watch that returns
// at the end of its wait would be reported as failed.
const platformTimeout = 5 * time.Second

// Watch implements instance.Effects.
func (d *Daemon) Watch(call confsync.CallID, revision uint64, instances int, wait time.Duration) {
	d.call(wait+platformTimeout, func(ctx context.Context) {
		answer, err := d.platform.Watch(ctx, revision, instances, wait)
		d.instance.OnWatch(monotime.Now(), call, answer, err)
	})
}

// FetchManifest implements instance.Effects.
func (d *Daemon) FetchManifest(call confsync.CallID) {
	d.call(platformTimeout, func(ctx context.Context) {
		data, err := d.platform.Manifest(ctx)
		d.instance.OnManifest(monotime.Now(), call, data, err)
	})
}

// FetchChunk implements instance.Effects.
func (d *Daemon) FetchChunk(call confsync.CallID, key string) {
	d.call(platformTimeout, func(ctx context.Context) {
		data, err := d.platform.Value(ctx, key)
		d.instance.OnChunk(monotime.Now(), call, data, err)
	})
}

// FetchInstances implements instance.Effects.
func (d *Daemon) FetchInstances(call confsync.CallID) {
	d.call(platformTimeout, func(ctx context.Context) {
		list, skipped, err := d.platform.Instances(ctx)
		if skipped > 0 {
			d.cfg.Log.Warn("instance list contains invalid entries", zap.Int("skipped", skipped))
		}
		d.instance.OnInstances(monotime.Now(), call, list, err)
	})
}

func (d *Daemon) call(timeout time.Duration, do func(ctx context.Context)) {
	d.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, timeout)
		defer cancel()
		do(ctx)
	})
}
