package daemon

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"basilrudder/internal/monotime"
)

const (
	drainPollInterval = 100 * time.Millisecond
	// goodbyeDelay lets the last news leave before the links close.
	goodbyeDelay = 100 * time.Millisecond
	// refusalTimeout is the time for refusals of requests that never started.
	refusalTimeout = 100 * time.Millisecond
)

// ErrCutOff says that the daemon ended with requests in flight.
var ErrCutOff = errors.New("requests in flight were cut off")

// drain goes on until no request is in flight. First the instance announces that
// it leaves, so that directory answers no longer name it, and goes on serving
// until the last answer that named it has expired. Then it refuses new requests
// and waits for those it holds, however long they take, unless the settings
// bound the drain. docs/design/drain.md tells why.
func (d *Daemon) drain(ctx context.Context) {
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
		sleep(ctx, drainPollInterval)
	}
	d.instance.Goodbye(monotime.Now())
	sleep(ctx, goodbyeDelay)
	if ctx.Err() == nil {
		// Requests that this instance passes on to others are in flight here too.
		_ = d.callers.Shutdown(ctx)
	}
}

// terminateRemaining closes what is still open. After a drain that is nothing; else callers
// are told that their requests did not run, or may have run. Waiting requests go
// first: ending a running one frees a slot, which would start one of them.
func (d *Daemon) terminateRemaining() error {
	remaining := d.node.Status(monotime.Now()).Requests
	d.node.RefuseWaiting(monotime.Now())
	ctx, cancel := context.WithTimeout(context.Background(), refusalTimeout)
	defer cancel()
	open := errors.Is(d.callers.Shutdown(ctx), context.DeadlineExceeded)
	d.cfg.Listeners.Close()
	d.cfg.Log.Info("ended", zap.Int("cut_off", remaining), zap.Bool("connections_open", open))
	if remaining > 0 || open {
		return errors.Wrapf(ErrCutOff, "%d held here", remaining)
	}
	return nil
}

// Abort ends Run at once, without a drain or in the middle of one. Callers of
// requests in flight are told that they may have run.
func (d *Daemon) Abort() {
	d.abort()
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
