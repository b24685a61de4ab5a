package relay

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"basilrudder/internal/answerend"
	"basilrudder/internal/monotime"
	"basilrudder/internal/timer"
)

const (
	// siblingDelay is how long after the end of an answer the other connections to its server
	// are examined: those of a killed process have ended by then.
	siblingDelay = 10 * time.Millisecond
	// maxEndHold bounds the wait for a probe. The caller does not learn of the end meanwhile.
	maxEndHold = 400 * time.Millisecond
)

// errServerEnded is that of an answer without a mark of its end whose server ended with it.
var errServerEnded = errors.New("server closed the connection of an answer without a marked end, and does not reply on new ones")

// checkEnd returns errServerEnded if the answer ended with its connection and the server's
// process with it. The caller waits for that.
func (f *forwarder) checkEnd(e *exchange) error {
	if f.received.framing != framingClose {
		return nil
	}
	endedAt := monotime.Now()
	// What is known by the deadline decides.
	timer.Sleep(siblingDelay, f.ctx.Done())
	evidence := answerend.Evidence{Siblings: f.relay.pool.siblings(e.conn)}
	if evidence.NeedsProbe() {
		evidence.Probe = f.probeEnd(evidence, endedAt)
	}
	decision := evidence.Decide()
	leaving := e.answer.Notice.Leaving || f.relay.cfg.Fleet.Leaving(f.target.ID)
	f.received.end = &unmarkedEnd{evidence, decision, leaving, monotime.Now().Sub(endedAt)}
	f.relay.cfg.Metrics.unmarkedEnd(f.received.end)
	if decision == answerend.Doubtful {
		return errServerEnded
	}
	return nil
}

// probeEnd probes the server of an answer that ended at an instant.
func (f *forwarder) probeEnd(evidence answerend.Evidence, endedAt monotime.Instant) answerend.Probe {
	if f.ctx.Err() != nil {
		return answerend.Interrupted
	}
	r, target, result := f.relay, f.target, make(chan answerend.Probe, 1)
	allowed := func() bool { return r.endBudget.Take(evidence, monotime.Now()) }
	go func() {
		result <- r.endProbes.examine(f.ctx, target, endedAt, allowed)
	}()
	expired := timer.New(maxEndHold)
	defer expired.Stop()
	select {
	case probe := <-result:
		return probe
	case <-expired.C:
		return r.endProbes.unconfirmed(target.ID)
	case <-f.ctx.Done():
		return answerend.Interrupted
	}
}

// unmarkedEnd describes what the end of an answer without a mark was taken for.
type unmarkedEnd struct {
	evidence answerend.Evidence
	decision answerend.Decision
	// leaving means that the server had announced that it stops.
	leaving bool
	held    time.Duration
}

func (u *unmarkedEnd) fields() []zap.Field {
	if u == nil {
		return nil
	}
	return []zap.Field{
		zap.String("end", string(u.decision)),
		zap.String("end_basis", u.evidence.Basis()),
		zap.Int("siblings_open", u.evidence.Siblings.Open),
		zap.Int("siblings_ended", u.evidence.Siblings.Ended),
		zap.Bool("leaving", u.leaving),
		zap.Duration("end_held_ms", u.held),
	}
}
