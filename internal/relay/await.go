package relay

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
	"basilrudder/internal/placement"
)

// queuePoll is the interval between checks of a request that waits in a server's queue. A
// longer one delays the move to another server.
const queuePoll = 100 * time.Millisecond

// Callers of streams give up after the maximum of these times without an event, also
// before the first one: a fixed time, multiples of the route's goal, and multiples of its
// MaxGap. They follow the callers' behaviour; larger values would send requests whose
// callers will have left, smaller ones refuse requests whose callers still wait.
const (
	callerTimeout      = 2 * time.Second
	callerTimeoutGoals = 4
	callerTimeoutGaps  = 8
)

// timeToFirstEvent returns the time until the caller gives up if no event arrives; 0 for
// no bound.
func (f *forwarder) timeToFirstEvent() time.Duration {
	if !f.route.Streaming || f.stream.begun() {
		return 0
	}
	timeout := max(callerTimeout, callerTimeoutGoals*f.route.Goal, callerTimeoutGaps*f.route.MaxGap)
	return max(1, timeout-monotime.Now().Sub(f.arrived))
}

// updateTimeLeft updates the time that is left for the request.
func (f *forwarder) updateTimeLeft() {
	f.work.Left = time.Until(f.deadline)
	f.work.FirstLeft = f.timeToFirstEvent()
}

// awaitBytes waits up to timeout for the next bytes of an answer, and longer only while
// the request waits in the queue of a working server. Withdrawing a request from a queue
// loses its position and what the server has read of it, and it would be last in the
// queue of another server.
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
			// Setting the deadline of a closed connection fails; the next read beyond the
			// buffered bytes reports that error.
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

// errMoved ends an exchange whose request moves to a server that starts it sooner.
var errMoved = errors.New("another server can start the request sooner")

// mayMove reports whether a request that waits in a server's queue would start much
// sooner on another server. If so, it takes the next send from the retry budget.
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

// stillQueued reports whether an unanswered request waits in its server's queue. If not,
// it logs why the server is given up.
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
		zap.Duration("engine_quiet_ms", state.SinceLastEvent),
		zap.Duration("overtaken_ms", state.SinceBypassed),
		zap.Duration("head_ms", state.AtHead),
		zap.Ints("ahead_prompts", state.Ahead.Prompts[:]),
		zap.Ints("ahead_tokens", state.Ahead.Tokens[:]))
	return false
}
