package node

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/accounting"
	"basilrudder/internal/verdict"
)

// finish ends the work on a request and hands the rest to its caller.
func (n *Node) finish(now monotime.Instant, r *request, err *verdict.Error) {
	delete(n.requests, r.seq)
	delete(n.byID, r.ID)
	n.order.remove(r)
	r.state = stateEnded
	r.err = err
	r.ended = now
	if err != nil && err.Verdict == verdict.NotRun {
		n.ids.Release(r.ID)
	}
	if nothingToDeliver(err) {
		n.recordEnd(now, r)
	} else {
		n.undelivered[r.ID] = r
		n.ended.push(r)
	}
	n.eff.Finish(r.ID, err)
}

// nothingToDeliver reports whether no caller will come for the answer. Work that
// was cancelled because its caller left or the process ends has none; were it kept like an answer, a
// drain would wait for it and a crash meanwhile would leave it unaccounted.
func nothingToDeliver(err *verdict.Error) bool {
	return err != nil && (err.Verdict == verdict.NotRun ||
		err.Reason == verdict.ReasonCallerGone || err.Reason == verdict.ReasonDraining)
}

// Delivered tells that the end of an answer was written to its caller. Only now
// is the request accounted: an answer that is ready and reaches nobody is waste.
func (n *Node) Delivered(now monotime.Instant, id string) {
	n.enter(now)
	defer n.mu.Unlock()
	if r := n.undelivered[id]; r != nil {
		r.delivered = r.err == nil
		n.settle(now, r)
	}
}

// settle accounts a request that ended.
func (n *Node) settle(now monotime.Instant, r *request) {
	delete(n.undelivered, r.ID)
	n.ended.remove(r)
	n.recordEnd(now, r)
}

// settleOld accounts requests whose answer is no longer kept for their callers.
func (n *Node) settleOld(now monotime.Instant) {
	cat := n.catalog.Load()
	if cat == nil {
		return
	}
	keep := time.Duration(cat.Rules.AnswerKeepS) * time.Second
	for n.ended.head != nil && now.Sub(n.ended.head.ended) > keep {
		n.settle(now, n.ended.head)
	}
}

// RecordRefused accounts a request that was refused before Submit. Its class may
// be nil when the caller named none that exists.
func (n *Node) RecordRefused(now monotime.Instant, in Request, err *verdict.Error) {
	n.enter(now)
	defer n.mu.Unlock()
	n.recordRefused(now, in, err)
}

// recordRefused accounts a request that was refused before it was admitted.
func (n *Node) recordRefused(now monotime.Instant, in Request, err *verdict.Error) {
	n.counts.Refused++
	r := &request{Request: in, arrived: now, err: err}
	if in.Class == nil {
		r.Class = &catalog.Class{}
	} else {
		r.tier = in.Class.TierFor(in.Customer)
	}
	n.recordStart(now, r)
	n.recordEnd(now, r)
}

func (n *Node) recordOf(r *request, kind accounting.RecordKind) accounting.Record {
	rec := accounting.Record{
		Kind:         kind,
		Instance:     n.cfg.Self.Instance,
		Incarnation:  n.cfg.Self.Token,
		Request:      r.ID,
		Seq:          n.recordSeq,
		Customer:     r.Customer.Name,
		Class:        r.Class.Name,
		Tier:         r.tier,
		Attempt:      r.attempt,
		PromptTokens: r.PromptTokens,
		Tokens:       r.tokens(),
	}
	if cat := n.catalog.Load(); cat != nil {
		rec.Revision = int(cat.Revision)
	}
	if r.engine != nil {
		rec.Server = r.engine.Server.Spec.Name
		rec.Engine = r.engine.Spec.Name
	}
	if r.group != nil {
		rec.Group = r.group.Name
	}
	n.recordSeq++
	return rec
}

func (n *Node) recordStart(_ monotime.Instant, r *request) {
	n.eff.Record(n.recordOf(r, accounting.RecordKindStart))
}

// recordDecision records a step for explain; age is how old the knowledge was
// that the decision used.
func (n *Node) recordDecision(now monotime.Instant, r *request, reason, message string, age time.Duration) {
	rec := n.recordOf(r, accounting.RecordKindDecision)
	rec.Reason = reason
	rec.Message = message
	rec.AgeMS = millis(age)
	rec.TotalMS = millis(now.Sub(r.arrived))
	n.eff.Record(rec)
}

// markLong records marks for requests that run.
func (n *Node) markLong(now monotime.Instant) {
	for r := n.order.head; r != nil; r = r.next {
		if now.Sub(r.arrived) < markAfter || now.Sub(r.marked) < markEvery {
			continue
		}
		r.marked = now
		rec := n.recordOf(r, accounting.RecordKindMark)
		rec.TotalMS = millis(now.Sub(r.arrived))
		n.eff.Record(rec)
	}
}

const (
	// markAfter and markEvery pace the marks of long requests, so that a crash
	// loses at most that much of what is known of them.
	markAfter = 10 * time.Second
	markEvery = 30 * time.Second
)

func (n *Node) recordEnd(now monotime.Instant, r *request) {
	err := r.err
	rec := n.recordOf(r, accounting.RecordKindEnd)
	rec.TotalMS = millis(now.Sub(r.arrived))
	rec.QueueMS = millis(r.queued)
	rec.WastedTokens = r.wasted
	if r.progress != nil {
		rec.GapP95MS = millis(r.progress.GapP95())
		if first := r.progress.First(); first != 0 {
			rec.FirstTokenMS = millis(first.Sub(r.arrived))
		}
	}
	if err != nil {
		rec.Verdict = err.Verdict.String()
		rec.Reason = string(err.Reason)
		rec.Message = err.Message
		rec.RetryAfterMS = int(err.RetryAfter / time.Millisecond)
		if r.seq != 0 {
			n.counts.failed(err)
		}
	} else {
		rec.Verdict = verdict.TextRan
		rec.Delivered = r.delivered
		rec.OnTime = r.delivered && onTime(now, r)
		n.counts.served(rec.OnTime)
	}
	if r.progress != nil && !r.delivered {
		rec.WastedTokens = r.tokens()
	}
	n.eff.Record(rec)
}

// onTime reports whether the answer met every target of its class.
func onTime(now monotime.Instant, r *request) bool {
	class := r.Class
	total := now.Sub(r.arrived)
	if class.Deadline > 0 && total > class.Deadline {
		return false
	}
	if class.FirstToken > 0 && r.progress.First().Sub(r.arrived) > class.FirstToken {
		return false
	}
	return class.TokenGap == 0 || r.progress.GapP95() <= class.TokenGap
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// Counts are totals since the start of the process.
type Counts struct {
	// Admitted requests.
	Admitted uint64
	// Refused requests that were never admitted.
	Refused uint64
	// NotRun, MayHaveRun and RanFailed count requests that ended without a whole
	// answer, by verdict.
	NotRun, MayHaveRun, RanFailed uint64
	// Served counts whole answers; OnTime those of them that met their targets.
	Served, OnTime uint64
	// Retried counts attempts after the first.
	Retried uint64
}

func (c *Counts) failed(err *verdict.Error) {
	switch err.Verdict {
	case verdict.NotRun:
		c.NotRun++
	case verdict.Ran:
		c.RanFailed++
	default:
		c.MayHaveRun++
	}
}

func (c *Counts) served(onTime bool) {
	c.Served++
	if onTime {
		c.OnTime++
	}
}
