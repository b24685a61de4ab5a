package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/crashes"
	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/routing"
	"basilrudder/internal/verdict"
)

// flight is one request from its arrival to its final answer.
type flight struct {
	relay   *Relay
	w       http.ResponseWriter
	hr      *http.Request
	arrived monotime.Instant

	ctx      context.Context
	deadline time.Time
	request  Request
	table    *routing.Table
	route    *routing.Route
	customer *routing.Customer
	service  string
	work     placement.Work
	body     []byte

	// print is the fingerprint once it is known.
	print *crashes.Fingerprint

	target   Target
	excluded map[string]bool
	sends    int
	// paid says that the next send was taken from the budget already.
	paid bool
	// worst is what is known of the request's execution over all sends.
	worst verdict.Verdict
	// eventsAt is when the first bytes of the last server's stream came; 0 for none.
	eventsAt monotime.Instant
	// stream holds what was delivered of a stream so far.
	stream delivery

	status    int
	reason    verdict.Reason
	cause     error
	firstByte monotime.Instant
	// comeBack is the time to come back that a refusal told.
	comeBack time.Duration
}

// serve gives the request its final answer.
func (f *flight) serve() {
	if fail := f.admit(); fail != nil {
		f.refuse(fail)
		return
	}
	defer f.relay.bodyBytes.Add(-int64(len(f.body)))
	ctx, cancel := context.WithDeadline(f.hr.Context(), f.deadline)
	defer cancel()
	f.ctx = ctx
	if f.culprit() {
		f.refuseCulprit()
		return
	}
	f.excluded = make(map[string]bool)
	f.relay.cfg.Fleet.Count(f.service, f.arrived)
	f.sendUntilFinal()
}

// admit reads the request and decides whether it may be sent at all.
func (f *flight) admit() *failure {
	var err error
	f.request, err = f.relay.cfg.Protocol.Request(f.hr.Header)
	if err != nil {
		return fail(http.StatusBadRequest, verdict.ReasonBadRequest, err)
	}
	f.table = f.relay.cfg.Fleet.Table()
	if f.table == nil {
		return later(verdict.ReasonNotReady, retryUnknown)
	}
	if problem := f.authorize(); problem != nil {
		return problem
	}
	f.setDeadline()
	if problem := f.admitDuringDrain(); problem != nil {
		return problem
	}
	return f.readBody()
}

// authorize finds the route and the customer. What the table in force does not
// know may have just been added: an instance that can't make sure says when to
// come back, because callers give up for good after a 401 or 404.
func (f *flight) authorize() *failure {
	problem := f.lookUp()
	if problem == nil {
		return nil
	}
	if !f.relay.cfg.Fleet.Confirm(f.hr.Context()) {
		return later(verdict.ReasonNotReady, retryUnknown)
	}
	f.table = f.relay.cfg.Fleet.Table()
	return f.lookUp()
}

func (f *flight) lookUp() *failure {
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

func (f *flight) setDeadline() {
	left := f.route.Timeout
	if f.request.Deadline > 0 {
		left = min(left, f.request.Deadline)
	}
	f.deadline = time.Now().Add(left)
	f.service = f.route.Pick(f.request.ID)
	f.work = placement.Work{
		Parts:    f.request.Parts,
		Prompt:   f.request.Prompt,
		Output:   f.request.Output,
		Goal:     f.route.Goal,
		MaxGap:   f.route.MaxGap,
		Priority: f.route.Priority,
		Rank:     f.table.Rank(f.route, f.customer),
		Homes:    routing.AllowedRegions(f.route, f.customer),
	}
}

// admitDuringDrain refuses what would be cut off by the end of the process.
// Callers keep connections and old directory answers for seconds, so requests
// still come; another instance serves them at once.
func (f *flight) admitDuringDrain() *failure {
	since, draining := f.relay.draining(f.arrived)
	if !draining {
		return nil
	}
	left := f.relay.cfg.DrainTime - since - drainReserve
	if f.route.Streaming && since > streamsDuringDrain || !f.route.Streaming && left < f.route.Timeout {
		return later(verdict.ReasonDraining, retryElsewhere)
	}
	return nil
}

// readBody reads the whole body before anything is sent, so that a caller that
// breaks off leaves no half request at a server.
func (f *flight) readBody() *failure {
	limit := int64(f.table.Limits().BodyBytes)
	if limit > 0 && f.hr.ContentLength > limit {
		return fail(http.StatusRequestEntityTooLarge, verdict.ReasonTooLarge, errors.Errorf("body over %d bytes", limit))
	}
	if f.relay.bodyBytes.Load()+max(f.hr.ContentLength, 0) > bodyRoom {
		return later(verdict.ReasonOverloaded, retryFull)
	}
	reader := io.Reader(f.hr.Body)
	if limit > 0 {
		reader = http.MaxBytesReader(f.w, f.hr.Body, limit)
	}
	body, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fail(http.StatusRequestEntityTooLarge, verdict.ReasonTooLarge, err)
	case err != nil:
		return fail(http.StatusBadRequest, verdict.ReasonCallerGone, err)
	}
	f.body = body
	f.relay.bodyBytes.Add(int64(len(body)))
	return nil
}

// sendUntilFinal sends the request to servers until one answer is final.
func (f *flight) sendUntilFinal() {
	for {
		problem := f.sendOnce()
		if problem == nil {
			return
		}
		f.worst = verdict.Worse(f.worst, problem.Verdict)
		f.note(problem)
		if f.over() {
			f.giveUp()
			return
		}
		if !f.maySendAgain(problem) {
			f.end(problem)
			return
		}
	}
}

// over reports whether the caller left or the time is up. The deadline of the
// server's connection can fire a moment before the context's; what it breaks off
// is the end of the time too and no failure of the server.
func (f *flight) over() bool {
	return f.ctx.Err() != nil || !time.Now().Before(f.deadline)
}

// maySendAgain decides whether a failed request goes to a further server.
func (f *flight) maySendAgain(problem *verdict.Error) bool {
	switch {
	case problem.Reason == verdict.ReasonNoServer, problem.Reason == verdict.ReasonOverloaded, problem.Reason == verdict.ReasonCrashesServers:
		return false
	case problem.Reason == verdict.ReasonConnect:
		// Nothing was sent, so it does not count as a server tried.
		return len(f.excluded) <= connectTries
	case f.worst != verdict.NotRun && !f.route.MayRepeat():
		return false
	case f.stream.begun() && !f.route.Resumable:
		return false
	case f.sends >= f.route.Attempts:
		return false
	case f.paid:
		f.paid = false
		return true
	default:
		return f.relay.cfg.Fleet.Spend(f.service, monotime.Now())
	}
}

// connectTries bounds how many servers that can't be reached are passed over
// for one request; each may cost connectTimeout.
const connectTries = 4

// sendOnce sends the request to one server and delivers its answer.
func (f *flight) sendOnce() *verdict.Error {
	fleet := f.relay.cfg.Fleet
	target, refusal := f.place()
	switch refusal {
	case placement.NoneReachable:
		return verdict.New(verdict.NotRun, verdict.ReasonNoServer, "no server can be reached").After(f.afterUnreachable())
	case placement.AllLimited:
		return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "all servers have just started, named a limit or want nothing for a while, and get what they bear").After(spread(retryOverloaded))
	case placement.AllFull, placement.NotWorthwhile:
		return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, fullMessage(target.Choice)).After(spread(retryOverloaded))
	}
	f.target = target
	c, err := f.relay.pool.get(f.ctx, target)
	if err != nil {
		f.excluded[target.ID] = true
		if !errors.Is(err, errPoolFull) && f.ctx.Err() == nil {
			fleet.Observe(target.ID, placement.Unreachable, monotime.Now())
		}
		return verdict.Wrap(verdict.NotRun, verdict.ReasonConnect, err).After(f.afterUnreachable())
	}
	f.excluded[target.ID] = true
	if f.culprit() {
		f.relay.pool.keep(c, "")
		return verdict.Wrap(verdict.NotRun, verdict.ReasonCrashesServers, errCulprit)
	}
	run, ok := fleet.Begin(target, f.work, monotime.Now())
	if !ok {
		f.relay.pool.keep(c, "")
		return verdict.New(verdict.NotRun, verdict.ReasonConnect, "the server has just started, named a limit or wants nothing for a while, and gets what it bears").After(retryFull)
	}
	f.sends++
	f.eventsAt = 0
	defer func() { fleet.End(run, monotime.Now()) }()
	e, problem := send(f.ctx, f.relay.pool, c, f.head(target), f.body, f.deadline)
	if problem != nil {
		fleet.Observe(target.ID, placement.Failed, monotime.Now())
		f.interrupted(problem)
		return problem
	}
	problem = f.receive(e, run)
	if problem != nil {
		f.interrupted(problem)
	}
	return problem
}

const (
	// turnWait is how long a request waits for its turn where all servers are bounded, as
	// a share of its goal, and turnWaitMost bounds it. Owners of such a server mostly get
	// a turn each second, so most requests that would be refused in between find one; a
	// caller that is refused comes back later than that, and only once.
	turnWait     = 0.5
	turnWaitMost = 500 * time.Millisecond
	// turnPoll is the time between looks for a turn.
	turnPoll = 25 * time.Millisecond
)

// place chooses a server. Nothing has been sent while it waits for a turn at one.
func (f *flight) place() (Target, placement.Refusal) {
	wait := min(time.Duration(turnWait*float64(f.work.Goal)), turnWaitMost)
	until := monotime.Now().Add(wait)
	for {
		now := monotime.Now()
		f.lookAtTime()
		target, refusal := f.relay.cfg.Fleet.Place(f.service, f.work, f.excluded, now)
		if refusal != placement.AllLimited || now >= until {
			return target, refusal
		}
		select {
		case <-time.After(turnPoll):
		case <-f.ctx.Done():
			return target, refusal
		}
	}
}

// head encodes the request for a server.
func (f *flight) head(target Target) []byte {
	headers := endToEnd(f.hr.Header)
	customer := ""
	if f.customer != nil {
		customer = f.customer.Name
	}
	resume := f.request.ResumeAfter
	if f.stream.lastID != "" {
		resume = f.stream.lastID
	}
	f.relay.cfg.Protocol.Forward(headers, Forward{
		Server:      target.Name,
		Deadline:    time.Until(f.deadline),
		Customer:    customer,
		HideKey:     f.table.Config().KeysRequired,
		Priority:    f.work.Rank,
		ResumeAfter: resume,
		FetchFrom:   target.FetchFrom,
	})
	hasBody := f.hr.ContentLength != 0 || len(f.hr.TransferEncoding) > 0
	return requestHead(f.hr.Method, originForm(f.hr), f.hr.Host, headers, f.body, hasBody)
}

// originForm returns path and query as the caller sent them; of a request that
// names a whole URL, as to a proxy, only those.
func originForm(hr *http.Request) string {
	if strings.HasPrefix(hr.RequestURI, "/") {
		return hr.RequestURI
	}
	return hr.URL.RequestURI()
}
