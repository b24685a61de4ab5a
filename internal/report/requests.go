package report

import (
	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/schema/accounting"
	"basilrudder/internal/verdict"
)

// key identifies a request: a hash of its id, and one of the instance and incarnation that
// held it. An id chosen by a caller may identify an execution at each of two instances. A
// month has many millions of requests, and hashes need a small part of the memory of the
// texts; collisions of 128-bit keys are not expected.
type key struct {
	request, holder uint64
}

func keyOf(r *accounting.Record) key {
	holder := xxhash.New()
	// Writing to a digest never fails.
	_, _ = holder.WriteString(r.Instance)
	_, _ = holder.Write([]byte{0})
	_, _ = holder.WriteString(r.Incarnation)
	_, _ = holder.Write([]byte{0})
	_, _ = holder.WriteString(r.Request)
	return key{request: xxhash.Sum64String(r.Request), holder: holder.Sum64()}
}

// Outcome is the result of a request. Each request has exactly one.
type Outcome uint8

// Outcomes.
const (
	// Unknown means that no end line was found: the instance died, or the
	// request was still running when the lines were taken.
	Unknown Outcome = iota
	// Served means that the whole answer was delivered.
	Served
	// Refused means that the request did not run.
	Refused
	// Failed means that it ran, or may have, and the answer was not delivered.
	Failed
)

// request holds what the lines contain about one request.
type request struct {
	customer, class string
	seen            float64 // wall-clock time of the latest start or mark line
	marked          int     // highest number of tokens in a mark
	end             *ending // nil while no end line is known
}

// ending holds the fields of an end line that reports use.
type ending struct {
	seq                          int
	ts                           float64
	verdict, reason              string
	delivered, onTime            bool
	tokens, wasted               int
	totalMS, queueMS, firstToken float32
}

// requests collects lines by request.
type requests struct {
	byKey map[key]*request
	// known holds the ids in byKey.
	known map[uint64]struct{}
	// decided holds requests that only decisions are about so far. They count if no other
	// line follows: the owner of a group decides on requests of other instances.
	decided map[uint64]decided
	names   names
	first   float64
	last    float64
}

// decided is the first decision on a request.
type decided struct {
	key             key
	customer, class string
	ts              float64
}

func newRequests() *requests {
	return &requests{
		byKey:   make(map[key]*request),
		known:   make(map[uint64]struct{}),
		decided: make(map[uint64]decided),
		names:   make(names),
	}
}

// names holds one copy of each repeated text.
type names map[string]string

func (n names) intern(s string) string {
	if known, ok := n[s]; ok {
		return known
	}
	n[s] = s
	return s
}

func (rs *requests) get(r *accounting.Record) *request {
	k := keyOf(r)
	found := rs.byKey[k]
	if found == nil {
		found = &request{}
		rs.byKey[k] = found
		rs.known[k.request] = struct{}{}
		delete(rs.decided, k.request)
	}
	found.customer = max(found.customer, rs.names.intern(r.Customer))
	found.class = max(found.class, rs.names.intern(r.Class))
	return found
}

// record implements sink. The result does not depend on the order of lines, and repeated
// lines have no effect.
func (rs *requests) record(r *accounting.Record) {
	if r.Ts > 0 {
		if rs.first == 0 || r.Ts < rs.first {
			rs.first = r.Ts
		}
		rs.last = max(rs.last, r.Ts)
	}
	switch r.Kind {
	case accounting.RecordKindDecision:
		rs.decide(r)
	case accounting.RecordKindEnd:
		rs.get(r).finish(rs.newEnding(r))
	default:
		found := rs.get(r)
		found.seen = max(found.seen, r.Ts)
		found.marked = max(found.marked, r.Tokens)
	}
}

// remnant implements sink.
func (rs *requests) remnant(r *accounting.Record) {
	rs.get(r)
}

func (rs *requests) decide(r *accounting.Record) {
	k := keyOf(r)
	if _, known := rs.known[k.request]; known {
		return
	}
	d := decided{key: k, customer: rs.names.intern(r.Customer), class: rs.names.intern(r.Class), ts: r.Ts}
	if earlier, ok := rs.decided[k.request]; !ok || d.precedes(earlier) {
		rs.decided[k.request] = d
	}
}

func (d decided) precedes(other decided) bool {
	switch {
	case d.ts != other.ts:
		return d.ts < other.ts
	case d.key.holder != other.key.holder:
		return d.key.holder < other.key.holder
	case d.customer != other.customer:
		return d.customer < other.customer
	default:
		return d.class < other.class
	}
}

func (rs *requests) newEnding(r *accounting.Record) *ending {
	return &ending{
		seq:        r.Seq,
		ts:         r.Ts,
		verdict:    rs.names.intern(r.Verdict),
		reason:     rs.names.intern(r.Reason),
		delivered:  r.Delivered,
		onTime:     r.OnTime,
		tokens:     r.Tokens,
		wasted:     r.WastedTokens,
		totalMS:    float32(r.TotalMS),
		queueMS:    float32(r.QueueMS),
		firstToken: float32(r.FirstTokenMS),
	}
}

// finish keeps the latest of several end lines.
func (r *request) finish(end *ending) {
	if r.end == nil || r.end.precedes(end) {
		r.end = end
	}
}

// precedes orders end lines by number, and different ones with the same number by their
// content, so that the choice does not depend on the order of lines.
func (e *ending) precedes(other *ending) bool {
	switch {
	case e.seq != other.seq:
		return e.seq < other.seq
	case e.ts != other.ts:
		return e.ts < other.ts
	case e.verdict != other.verdict:
		return e.verdict < other.verdict
	case e.delivered != other.delivered:
		return other.delivered
	case e.onTime != other.onTime:
		return other.onTime
	case e.tokens != other.tokens:
		return e.tokens < other.tokens
	default:
		return e.wasted < other.wasted
	}
}

// each calls f once with every request, in no particular order. Requests that only
// decisions are about count too: the process ended before it wrote the start line.
func (rs *requests) each(f func(*request)) {
	for _, r := range rs.byKey {
		f(r)
	}
	for _, d := range rs.decided {
		f(&request{customer: d.customer, class: d.class, seen: d.ts})
	}
}

func (r *request) outcome() Outcome {
	switch {
	case r.end == nil:
		return Unknown
	case r.end.verdict == verdict.TextNotRun:
		return Refused
	case r.end.verdict == verdict.TextRan && r.end.delivered:
		return Served
	default:
		return Failed
	}
}

// onTime reports whether the request was served within its class's targets.
func (r *request) onTime() bool {
	return r.outcome() == Served && r.end.onTime
}

// at returns the wall-clock time at which the request counts, in seconds.
func (r *request) at() float64 {
	if r.end != nil {
		return r.end.ts
	}
	return r.seen
}

// ownFault reports whether the request was refused for what its caller sent or
// for the customer's own limit. Such a request is no evidence about the service.
func (r *request) ownFault() bool {
	return r.outcome() == Refused && ownFaultReasons[verdict.Reason(r.end.reason)]
}

var ownFaultReasons = map[verdict.Reason]bool{
	verdict.ReasonBadRequest:     true,
	verdict.ReasonTooLarge:       true,
	verdict.ReasonUnauthorized:   true,
	verdict.ReasonForbidden:      true,
	verdict.ReasonUnknownClass:   true,
	verdict.ReasonUnknownRequest: true,
	verdict.ReasonUnboundKey:     true,
	verdict.ReasonIDExpired:      true,
	verdict.ReasonRateLimited:    true,
}
