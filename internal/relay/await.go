package relay

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
	"basilrudder/internal/placement"
)

// standingPoll is the time between looks at a request that waits in a server's queue.
const standingPoll = 100 * time.Millisecond

// Callers of streams leave after a time without an event, also before the first one: the
// longest of these.
const (
	callerSilence      = 2 * time.Second
	callerSilenceGoals = 4
	callerSilenceGaps  = 8
)

// firstLeft is the time until the caller leaves if no event comes; 0 for no bound.
func (f *flight) firstLeft() time.Duration {
	if !f.route.Streaming || f.stream.begun() {
		return 0
	}
	silence := max(callerSilence, callerSilenceGoals*f.route.Goal, callerSilenceGaps*f.route.MaxGap)
	return max(1, silence-monotime.Now().Sub(f.arrived))
}

// lookAtTime notes how much time is left for the request.
func (f *flight) lookAtTime() {
	f.work.Left = time.Until(f.deadline)
	f.work.FirstLeft = f.firstLeft()
}

// await waits for the next bytes of an answer, and no longer than silence unless the
// request waits in the queue of a server that works. A request that is taken back from a
// queue loses its place, and the server what it has read of it; elsewhere it would be the
// last again.
func (f *flight) await(e *exchange, run int, silence time.Duration) error {
	if silence == 0 {
		return nil
	}
	for {
		if err := e.conn.SetReadDeadline(earlier(time.Now().Add(silence), f.deadline)); err != nil {
			return err
		}
		_, err := e.conn.reader.Peek(1)
		if err == nil || !netconn.IsTimeout(err) || f.over() {
			// A connection that is closed by now fails the next read beyond what came.
			_ = e.conn.SetReadDeadline(f.deadline)
			return nil
		}
		if !f.queued(e, run) {
			return errors.Join(errSilent, err)
		}
		if f.mayLeave(e) {
			return errMoved
		}
		silence = standingPoll
	}
}

// errMoved ends an exchange whose request goes to a server that begins it sooner.
var errMoved = errors.New("another server begins it sooner")

// mayLeave reports whether a request that waits in a server's queue would begin much sooner
// at another one, and takes the send there from the budget.
func (f *flight) mayLeave(e *exchange) bool {
	now := monotime.Now()
	f.lookAtTime()
	work := f.work
	work.Waited = now.Sub(e.sentAt)
	target, refusal := f.relay.cfg.Fleet.Place(f.service, work, f.excluded, now)
	if refusal != placement.Chosen || !f.relay.cfg.Fleet.Spend(f.service, now) {
		return false
	}
	f.paid = true
	f.relay.cfg.Log.Info("request_moved",
		zap.String("id", f.request.ID),
		zap.String("server", f.target.ID),
		zap.String("to", target.ID),
		zap.Duration("waited_ms", work.Waited),
		zap.Duration("predicted_first_ms", target.Choice.First))
	return true
}

// queued reports whether a request that its server has not answered waits in its queue, and
// logs why it is given up where it does not.
func (f *flight) queued(e *exchange, run int) bool {
	now := monotime.Now()
	standing := f.relay.cfg.Fleet.Standing(run, now)
	if standing.Queued(f.patience()) {
		return true
	}
	f.relay.cfg.Log.Info("server_silent",
		zap.String("id", f.request.ID),
		zap.String("server", f.target.ID),
		zap.Duration("waited_ms", now.Sub(e.sentAt)),
		zap.Duration("patience_ms", f.patience()),
		zap.Duration("predicted_first_ms", f.target.Choice.First),
		zap.Duration("engine_quiet_ms", standing.SinceLastEvent),
		zap.Duration("overtaken_ms", standing.SinceBypassed),
		zap.Duration("head_ms", standing.AtHead),
		zap.Ints("ahead_prompts", standing.Ahead.Prompts[:]),
		zap.Ints("ahead_tokens", standing.Ahead.Tokens[:]))
	return false
}
