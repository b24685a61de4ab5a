package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/monotime"
)

const (
	drainPoll = 100 * time.Millisecond
	// goodbyeWait lets the last news leave before the links close.
	goodbyeWait = 100 * time.Millisecond
)

// drain ends the daemon without cutting off a request in flight. First the
// instance announces that it leaves, so that directory answers no longer name
// it, and goes on serving until the last answer that named it has expired. Then
// it refuses new requests and waits for those it holds, however long they take,
// unless the settings bound the drain.
func (d *Daemon) drain(ctx context.Context) error {
	if limit := d.cfg.Settings.Limits.DrainS; limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(limit)*time.Second)
		defer cancel()
	}
	d.cfg.Log.Info("leaving", zap.Duration("directory_ttl", d.directoryTTL()))
	d.instance.Leave(monotime.Now())
	sleep(ctx, d.directoryTTL())
	d.node.Drain(monotime.Now())
	for !d.node.Drained() && ctx.Err() == nil {
		sleep(ctx, drainPoll)
	}
	d.cfg.Log.Info("drained", zap.Bool("whole", d.node.Drained()))
	d.instance.Goodbye(monotime.Now())
	sleep(ctx, goodbyeWait)
	return d.callers.Shutdown(ctx)
}

func (d *Daemon) directoryTTL() time.Duration {
	if cat := d.node.Catalog(); cat != nil {
		return time.Duration(cat.Rules.DirectoryTTLS) * time.Second
	}
	return 0
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
