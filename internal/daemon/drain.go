package daemon

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/timer"
)

const (
	// drainPollInterval is how often a drain checks whether requests remain. It delays the
	// end of a drain by up to its value.
	drainPollInterval = 100 * time.Millisecond
	// goodbyeDelay is the time to send the last updates to peers before the links close. If
	// it is too short, peers do not receive them; each drain takes longer by its value.
	goodbyeDelay = 100 * time.Millisecond
	// refusalTimeout bounds the time for sending the last answers, such as refusals of
	// requests that never started. Callers that have not received theirs by then find
	// their connection closed; a larger value delays the exit while connections are open.
	refusalTimeout = 100 * time.Millisecond
)

// ErrCutOff reports that the daemon stopped while requests were in flight or connections of
// callers were open.
var ErrCutOff = errors.New("requests in flight were cut off")

// drain returns when no request is in flight, ctx is cancelled, or the limit in the settings
// is reached. The instance first announces that it leaves, which removes it from directory
// answers, and serves until the last answer that contains it has expired. It then refuses
// new requests and waits for the remaining ones, without a time limit unless the settings
// give one. docs/design/drain.md gives the reasons.
func (d *Daemon) drain(ctx context.Context) {
	if limit := d.cfg.Settings.Limits.DrainS; limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(limit)*time.Second)
		defer cancel()
	}
	d.cfg.Log.Info("leaving", zap.Duration("directory_ttl", d.directoryTTL()))
	d.instance.Leave(monotime.Now())
	timer.Sleep(d.directoryTTL(), ctx.Done())
	d.node.Drain(monotime.Now())
	for !d.node.Drained() && ctx.Err() == nil {
		timer.Sleep(drainPollInterval, ctx.Done())
	}
	d.instance.Goodbye(monotime.Now())
	timer.Sleep(goodbyeDelay, ctx.Done())
	if ctx.Err() == nil {
		// Requests that this instance forwards to other instances are also in flight here.
		_ = d.callers.Shutdown(ctx)
	}
}

// terminateRemaining ends the remaining requests and closes the listeners. After a complete
// drain no requests remain; otherwise their callers receive a refusal that says whether the
// request did not run or may have run. Waiting requests are refused first, because the end
// of a running request frees a slot, in which a waiting one would start.
func (d *Daemon) terminateRemaining() error {
	remaining := d.node.Status(monotime.Now()).Requests
	d.node.RefuseWaiting(monotime.Now())
	ctx, cancel := context.WithTimeout(context.Background(), refusalTimeout)
	defer cancel()
	open := errors.Is(d.callers.Shutdown(ctx), context.DeadlineExceeded)
	d.cfg.Listeners.Close()
	d.cfg.Log.Info("ended", zap.Int("cut_off", remaining), zap.Bool("connections_open", open))
	if remaining > 0 || open {
		return errors.Wrapf(ErrCutOff, "%d requests remaining", remaining)
	}
	return nil
}

// Abort ends Run at once, without a drain or during one. Callers of running requests
// receive a refusal that says that the request may have run.
func (d *Daemon) Abort() {
	d.abort()
}

func (d *Daemon) directoryTTL() time.Duration {
	if cat := d.node.Catalog(); cat != nil {
		return time.Duration(cat.Rules.DirectoryTTLS) * time.Second
	}
	return 0
}
