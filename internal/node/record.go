package node

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/accounting"
	"basilrudder/internal/verdict"
)

// finish ends the processing of a request and keeps its answer for delivery if there is
// one.
func (n *Node) finish(now monotime.Instant, r *request, err *verdict.Error) {
	delete(n.requests, r.seq)
	delete(n.byID, r.ID)
	n.order.remove(r)
	r.state = stateEnded
	r.err = err
	r.ended = now
	if err != nil && err.Verdict == verdict.NotRun {
		n.ids.Forget(r.ID)
	}
	if nothingToDeliver(err) {
		n.recordEnd(now, r)
	} else {
		n.undelivered[r.ID] = r
		n.ended.push(r)
	}
	n.eff.Finish(r.ID, err)
}

// nothingToDeliver reports whether no caller will fetch the answer. Work that was
// cancelled because its caller left or the process ends has none. If it were kept like an
// answer, a drain would wait for it, and a crash meanwhile would leave it unaccounted.
func nothingToDeliver(err *verdict.Error) bool {
	return err != nil && (err.Verdict == verdict.NotRun ||
		err.Reason == verdict.ReasonCallerGone || err.Reason == verdict.ReasonDraining)
}

// Delivered reports that the end of an answer was written to its caller. The request is
// accounted only now: an answer that reaches nobody is waste.
func (n *Node) Delivered(now monotime.Instant, id string) {
	n.lockAndDetectPause(now)
	defer n.mu.Unlock()
	if r := n.undelivered[id]; r != nil {
		r.delivered = r.err == nil
		n.accountEnded(now, r)
	}
}

// accountEnded accounts a request that ended and drops its answer.
func (n *Node) accountEnded(now monotime.Instant, r *request) {
	delete(n.undelivered, r.ID)
	n.ended.remove(r)
	n.recordEnd(now, r)
}

// accountExpired accounts requests whose answer is no longer kept for their callers.
func (n *Node) accountExpired(now monotime.Instant) {
	cat := n.catalog.Load()
	if cat == nil {
		return
	}
	keep := time.Duration(cat.Rules.AnswerKeepS) * time.Second
	for n.ended.head != nil && now.Sub(n.ended.head.ended) > keep {
		n.accountEnded(now, n.ended.head)
	}
}

// RecordRefused accounts a request that was refused before Submit. Its class may be nil if
// the caller named an unknown one.
func (n *Node) RecordRefused(now monotime.Instant, in Request, err *verdict.Error) {
	n.lockAndDetectPause(now)
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

func (n *Node) newRecord(r *request, kind accounting.RecordKind) accounting.Record {
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
	n.eff.Record(n.newRecord(r, accounting.RecordKindStart))
}

// recordDecision records a step for explain; age is the age of the state that the decision
// used.
func (n *Node) recordDecision(now monotime.Instant, r *request, reason, message string, age time.Duration) {
	rec := n.newRecord(r, accounting.RecordKindDecision)
	rec.Reason = reason
	rec.Message = message
	rec.AgeMS = durationToMS(age)
	rec.TotalMS = durationToMS(now.Sub(r.arrived))
	n.eff.Record(rec)
}

// recordMarks writes intermediate records of long requests.
func (n *Node) recordMarks(now monotime.Instant) {
	for r := n.order.head; r != nil; r = r.next {
		if now.Sub(r.arrived) < markAfter || now.Sub(r.marked) < markEvery {
			continue
		}
		r.marked = now
		rec := n.newRecord(r, accounting.RecordKindMark)
		rec.TotalMS = durationToMS(now.Sub(r.arrived))
		n.eff.Record(rec)
	}
}

const (
	// markAfter and markEvery are the age of the first mark and the interval of the
	// further marks of a long request. A crash loses at most that much of its accounting.
	markAfter = 10 * time.Second
	markEvery = 30 * time.Second
)

func (n *Node) recordEnd(now monotime.Instant, r *request) {
	err := r.err
	rec := n.newRecord(r, accounting.RecordKindEnd)
	rec.TotalMS = durationToMS(now.Sub(r.arrived))
	rec.QueueMS = durationToMS(r.queueTime)
	rec.WastedTokens = r.wastedTokens
	if r.progress != nil {
		rec.GapP95MS = durationToMS(r.progress.GapP95())
		if first := r.progress.FirstTokenAt(); first != 0 {
			rec.FirstTokenMS = durationToMS(first.Sub(r.arrived))
		}
	}
	if err != nil {
		rec.Verdict = err.Verdict.String()
		rec.Reason = string(err.Reason)
		rec.Message = err.Message
		rec.RetryAfterMS = int(err.RetryAfter / time.Millisecond)
		if r.seq != 0 {
			n.counts.addFailed(err)
		}
	} else {
		rec.Verdict = verdict.TextRan
		rec.Delivered = r.delivered
		rec.OnTime = r.delivered && onTime(now, r)
		n.counts.addServed(rec.OnTime)
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
	if class.FirstToken > 0 && r.progress.FirstTokenAt().Sub(r.arrived) > class.FirstToken {
		return false
	}
	return class.TokenGap == 0 || r.progress.GapP95() <= class.TokenGap
}

func durationToMS(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// Counts are totals since the start of the process.
type Counts struct {
	// Admitted requests.
	Admitted uint64
	// Refused requests that were never admitted.
	Refused uint64
	// NotRun, MayHaveRun and RanFailed count requests that ended without a complete
	// answer, by verdict.
	NotRun, MayHaveRun, RanFailed uint64
	// Served counts complete answers; OnTime those that met their targets.
	Served, OnTime uint64
	// Retried counts attempts after the first.
	Retried uint64
}

func (c *Counts) addFailed(err *verdict.Error) {
	switch err.Verdict {
	case verdict.NotRun:
		c.NotRun++
	case verdict.Ran:
		c.RanFailed++
	default:
		c.MayHaveRun++
	}
}

func (c *Counts) addServed(onTime bool) {
	c.Served++
	if onTime {
		c.OnTime++
	}
}
