package relay

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
	"basilrudder/internal/placement"
)

// queuePoll is the time between looks at a request that waits in a server's queue.
const queuePoll = 100 * time.Millisecond

// Callers of streams leave after a time without an event, also before the first one: the
// longest of these.
const (
	callerTimeout      = 2 * time.Second
	callerTimeoutGoals = 4
	callerTimeoutGaps  = 8
)

// timeToFirstEvent is the time until the caller leaves if no event comes; 0 for no bound.
func (f *forwarder) timeToFirstEvent() time.Duration {
	if !f.route.Streaming || f.stream.begun() {
		return 0
	}
	timeout := max(callerTimeout, callerTimeoutGoals*f.route.Goal, callerTimeoutGaps*f.route.MaxGap)
	return max(1, timeout-monotime.Now().Sub(f.arrived))
}

// updateTimeLeft notes how much time is left for the request.
func (f *forwarder) updateTimeLeft() {
	f.work.Left = time.Until(f.deadline)
	f.work.FirstLeft = f.timeToFirstEvent()
}

// awaitBytes waits for the next bytes of an answer, and no longer than silence unless the
// request waits in the queue of a server that works. A request that is taken back from a
// queue loses its place, and the server what it has read of it; elsewhere it would be the
// last again.
func (f *forwarder) awaitBytes(e *exchange, run int, timeout time.Duration) error {
	if timeout == 0 {
		return nil
	}
	for {
		if err := e.conn.SetReadDeadline(earlier(time.Now().Add(timeout), f.deadline)); err != nil {
			return err
		}
		_, err := e.conn.reader.Peek(1)
		if err == nil || !netconn.IsTimeout(err) || f.expired() {
			// A connection that is closed by now fails the next read beyond what came.
			_ = e.conn.SetReadDeadline(f.deadline)
			return nil
		}
		if !f.stillQueued(e, run) {
			return errors.Join(errUnresponsive, err)
		}
		if f.mayMove(e) {
			return errMoved
		}
		timeout = queuePoll
	}
}

// errMoved ends an exchange whose request goes to a server that begins it sooner.
var errMoved = errors.New("another server begins it sooner")

// mayMove reports whether a request that waits in a server's queue would begin much sooner
// at another one, and takes the send there from the budget.
func (f *forwarder) mayMove(e *exchange) bool {
	now := monotime.Now()
	f.updateTimeLeft()
	work := f.work
	work.Waited = now.Sub(e.sentAt)
	target, refusal := f.relay.cfg.Fleet.Place(f.service, work, f.excluded, now)
	if refusal != placement.Chosen || !f.relay.cfg.Fleet.Spend(f.service, now) {
		return false
	}
	f.budgetSpent = true
	f.relay.cfg.Log.Info("request_moved",
		zap.String("id", f.request.ID),
		zap.String("server", f.target.ID),
		zap.String("to", target.ID),
		zap.Duration("waited_ms", work.Waited),
		zap.Duration("predicted_first_ms", target.Choice.First))
	return true
}

// stillQueued reports whether a request that its server has not answered waits in its queue, and
// logs why it is given up where it does not.
func (f *forwarder) stillQueued(e *exchange, run int) bool {
	now := monotime.Now()
	state := f.relay.cfg.Fleet.QueueState(run, now)
	if state.Queued(f.responseTimeout()) {
		return true
	}
	f.relay.cfg.Log.Info("server_silent",
		zap.String("id", f.request.ID),
		zap.String("server", f.target.ID),
		zap.Duration("waited_ms", now.Sub(e.sentAt)),
		zap.Duration("patience_ms", f.responseTimeout()),
		zap.Duration("predicted_first_ms", f.target.Choice.First),
		zap.Duration("engine_quiet_ms", state.Quiet),
		zap.Duration("overtaken_ms", state.Overtaken),
		zap.Duration("head_ms", state.Head),
		zap.Ints("ahead_prompts", state.Ahead.Prompts[:]),
		zap.Ints("ahead_tokens", state.Ahead.Tokens[:]))
	return false
}
