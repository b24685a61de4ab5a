package relay

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/membudget"
	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
	"basilrudder/internal/placement"
	"basilrudder/internal/routing"
	"basilrudder/internal/verdict"
)

// admit parses the request and decides whether it may be sent at all.
func (f *forwarder) admit() *failure {
	var err error
	f.request, err = f.relay.cfg.Protocol.Request(f.hr.Header)
	if err != nil {
		return fail(http.StatusBadRequest, verdict.ReasonBadRequest, err)
	}
	if f.relay.cfg.Refuses(f.hr.Context()) {
		return unavailable(verdict.ReasonOverloaded, retryElsewhere)
	}
	f.table = f.relay.cfg.Fleet.Table()
	if f.table == nil {
		return unavailable(verdict.ReasonNotReady, retryNotReady)
	}
	if limit := f.table.Limits().HeaderBytes; limit > 0 && headSize(f.hr) > limit {
		return fail(http.StatusRequestHeaderFieldsTooLarge, verdict.ReasonTooLarge, errors.Errorf("head is larger than %d bytes", limit))
	}
	if problem := f.authorize(); problem != nil {
		return problem
	}
	f.setDeadline()
	if problem := f.admitDuringDrain(f.arrived); problem != nil {
		return problem
	}
	if problem := f.readBody(); problem != nil {
		return problem
	}
	// Its body may have taken until late in a drain.
	return f.admitDuringDrain(monotime.Now())
}

// headSize returns the size of a request's head in bytes, less white space around values and
// fields that the HTTP server removes.
func headSize(hr *http.Request) int {
	const separators = len(":") + len("\r\n")
	out := len(hr.Method) + len(hr.RequestURI) + len(hr.Proto) + separators
	for name, values := range hr.Header {
		for _, value := range values {
			out += len(name) + len(value) + separators
		}
	}
	return out
}

// authorize finds the route and the customer. A route or key that is missing from the
// table in force may have been added since. If the instance can't confirm that its table
// is current, it answers with a Retry-After, because callers never retry after a 401 or
// 404.
func (f *forwarder) authorize() *failure {
	problem := f.matchRoute()
	if problem == nil {
		return nil
	}
	if !f.relay.cfg.Fleet.Confirm(f.hr.Context()) {
		return unavailable(verdict.ReasonNotReady, retryNotReady)
	}
	f.table = f.relay.cfg.Fleet.Table()
	return f.matchRoute()
}

func (f *forwarder) matchRoute() *failure {
	f.route = f.table.Match(f.hr.Host, f.hr.URL.EscapedPath())
	if f.route == nil {
		return fail(http.StatusNotFound, verdict.ReasonUnknownClass, errors.New("no route for this host and path"))
	}
	if !f.table.NeedsKey(f.route) {
		return nil
	}
	f.customer = f.table.Customer(f.request.Key)
	if f.customer == nil {
		return fail(http.StatusUnauthorized, verdict.ReasonUnauthorized, errors.New("no customer has this key"))
	}
	return nil
}

func (f *forwarder) setDeadline() {
	left := f.route.Timeout
	if f.request.Deadline > 0 {
		left = min(left, f.request.Deadline)
	}
	f.deadline = time.Now().Add(left)
	f.service = f.route.Pick(f.firstTry())
	f.work = placement.Work{
		Parts:          f.request.Parts,
		Prompt:         f.request.Prompt,
		Output:         f.request.Output,
		Goal:           f.route.Goal,
		MaxGap:         f.route.MaxGap,
		Priority:       f.route.Priority,
		Rank:           f.table.Rank(f.route, f.customer),
		AllowedRegions: routing.AllowedRegions(f.route, f.customer),
		Resumable:      f.route.Resumable,
	}
}

// admitDuringDrain refuses requests that the end of the process would cut off. Callers
// keep connections and old directory answers for seconds, so requests still arrive;
// another instance can serve them at once.
func (f *forwarder) admitDuringDrain(now monotime.Instant) *failure {
	if f.endsInDrain(now) {
		return nil
	}
	return unavailable(verdict.ReasonDraining, retryElsewhere)
}

// endsInDrain reports whether a request that is sent to a server now is expected to end before
// this process does.
func (f *forwarder) endsInDrain(now monotime.Instant) bool {
	since, draining := f.relay.draining(now)
	switch {
	case !draining:
		return true
	case f.route.Streaming:
		return since <= drainStreamWindow
	default:
		return f.relay.cfg.DrainTime-since-drainReserve >= time.Until(f.deadline)
	}
}

// readBody reads the whole body before anything is sent: a caller that aborts then leaves
// no partial request on a server.
func (f *forwarder) readBody() *failure {
	limit := int64(f.table.Limits().BodyBytes)
	if limit > 0 && f.hr.ContentLength > limit {
		return fail(http.StatusRequestEntityTooLarge, verdict.ReasonTooLarge, errors.Errorf("body is larger than %d bytes", limit))
	}
	if f.hr.ContentLength == 0 {
		return f.acceptBody(nil)
	}
	control := http.NewResponseController(f.w)
	// Only the response writers of tests have no deadlines.
	_ = control.SetReadDeadline(f.deadline)
	body, err := membudget.ReadAll(f, f.bodyReader(limit), f.hr.ContentLength)
	if err != nil {
		// The deadline stays set: the server would read on for the rest of the body without end.
		return f.unreadable(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return f.acceptBody(body)
}

// acceptBody takes over a body that was read whole.
func (f *forwarder) acceptBody(body []byte) *failure {
	if !f.intake.Received() {
		return f.unreadable(errShed)
	}
	if !f.Hold(requestCost) {
		return f.unreadable(membudget.ErrNone)
	}
	f.body = body
	return nil
}

// unreadable returns the answer to a request whose body could not be read.
func (f *forwarder) unreadable(err error) *failure {
	var tooLarge *http.MaxBytesError
	switch {
	case f.intake.Shed(), errors.Is(err, membudget.ErrNone):
		// The server keeps the request until its connection has closed, some time after the answer.
		f.hr.Header = nil
		answer := unavailable(verdict.ReasonOverloaded, retryFull)
		answer.cause = err
		return answer
	case netconn.IsTimeout(err):
		return fail(http.StatusRequestTimeout, verdict.ReasonDeadline, errors.Wrap(err, "read the body"))
	case errors.As(err, &tooLarge):
		return fail(http.StatusRequestEntityTooLarge, verdict.ReasonTooLarge, err)
	default:
		return fail(http.StatusBadRequest, verdict.ReasonCallerGone, err)
	}
}

// errShed reports that a request was given up for others.
var errShed = errors.New("the request was given up for others before it was read whole")
