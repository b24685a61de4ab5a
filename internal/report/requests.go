package report

import (
	"sort"

	"basilrudder/internal/schema/accounting"
	"basilrudder/internal/verdict"
)

// key names a request. Instance and incarnation are part of it, since a caller's
// own id may name one execution at each of two instances.
type key struct {
	instance, incarnation, request string
}

func keyOf(r *accounting.Record) key {
	return key{instance: r.Instance, incarnation: r.Incarnation, request: r.Request}
}

// Outcome tells what became of a request. Each request has exactly one.
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

// request is what is known of one request.
type request struct {
	customer, class string
	seen            float64 // wall-clock time of the latest start or mark line
	marked          int     // highest number of tokens in a mark
	end             *accounting.Record
}

// requests collects lines by request.
type requests struct {
	byKey map[key]*request
	// decided holds requests of which another instance, the owner of a group,
	// decided something. They count only when nothing else tells of them.
	decided map[string]*accounting.Record
	first   float64
	last    float64
}

func newRequests() *requests {
	return &requests{byKey: make(map[key]*request), decided: make(map[string]*accounting.Record)}
}

func (rs *requests) get(r *accounting.Record) *request {
	k := keyOf(r)
	found := rs.byKey[k]
	if found == nil {
		found = &request{}
		rs.byKey[k] = found
	}
	found.customer = max(found.customer, r.Customer)
	found.class = max(found.class, r.Class)
	return found
}

// record implements sink. Nothing here depends on the order of lines, and a
// repeated line finds its effect already there.
func (rs *requests) record(r *accounting.Record) {
	if r.Ts > 0 {
		if rs.first == 0 || r.Ts < rs.first {
			rs.first = r.Ts
		}
		rs.last = max(rs.last, r.Ts)
	}
	switch r.Kind {
	case accounting.RecordKindDecision:
		if known := rs.decided[r.Request]; known == nil || precedes(r, known) {
			rs.decided[r.Request] = r
		}
	case accounting.RecordKindEnd:
		found := rs.get(r)
		if found.end == nil || precedes(found.end, r) {
			found.end = r
		}
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

// precedes orders lines of one request: by number, and two different lines with
// one number by what they say, so that the choice does not depend on order.
func precedes(a, b *accounting.Record) bool {
	switch {
	case a.Seq != b.Seq:
		return a.Seq < b.Seq
	case a.Ts != b.Ts:
		return a.Ts < b.Ts
	case a.Verdict != b.Verdict:
		return a.Verdict < b.Verdict
	default:
		return a.Tokens < b.Tokens
	}
}

// sorted returns every request once, in a fixed order.
func (rs *requests) sorted() []*request {
	rs.adoptDecided()
	keys := make([]key, 0, len(rs.byKey))
	for k := range rs.byKey {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	out := make([]*request, 0, len(keys))
	for _, k := range keys {
		out = append(out, rs.byKey[k])
	}
	return out
}

func (k key) less(other key) bool {
	switch {
	case k.request != other.request:
		return k.request < other.request
	case k.instance != other.instance:
		return k.instance < other.instance
	default:
		return k.incarnation < other.incarnation
	}
}

// adoptDecided adds requests that only decisions tell of: the start line was
// cut off with the process, and yet the request was there.
func (rs *requests) adoptDecided() {
	known := make(map[string]bool, len(rs.byKey))
	for k := range rs.byKey {
		known[k.request] = true
	}
	for id, r := range rs.decided {
		if !known[id] {
			rs.get(r).seen = r.Ts
		}
	}
}

func (r *request) outcome() Outcome {
	switch {
	case r.end == nil:
		return Unknown
	case r.end.Verdict == verdict.TextNotRun:
		return Refused
	case r.end.Verdict == verdict.TextRan && r.end.Delivered:
		return Served
	default:
		return Failed
	}
}

// onTime reports whether the request was served within its class's targets.
func (r *request) onTime() bool {
	return r.outcome() == Served && r.end.OnTime
}

// at is the wall-clock time at which the request counts, in seconds.
func (r *request) at() float64 {
	if r.end != nil {
		return r.end.Ts
	}
	return r.seen
}

// ownFault reports whether the request was refused for what its caller sent or
// for the customer's own limit. Such a request says nothing of the service.
func (r *request) ownFault() bool {
	return r.outcome() == Refused && ownFaultReasons[verdict.Reason(r.end.Reason)]
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
