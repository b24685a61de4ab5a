package relay

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/crashes"
	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/routing"
	"basilrudder/internal/timer"
	"basilrudder/internal/verdict"
)

// forwarder handles one request from its arrival to its final answer.
type forwarder struct {
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
	intake   Intake
	// held is how many bytes of memory the request holds, also while its body is being read.
	held int64

	// cachedFingerprint and cachedParts are the fingerprints of the request and of its
	// shared parts once they have been computed.
	cachedFingerprint *crashes.Fingerprint
	cachedParts       []crashes.Fingerprint

	target Target
	// via is the instance through which the last send went; nil if it was direct.
	via      *Via
	excluded map[string]bool
	sends    int
	// budgetSpent means that the next send has already been taken from the retry budget.
	budgetSpent bool
	// worst is the worst verdict over all sends on whether the request has run.
	worst verdict.Verdict
	// firstEventAt is when the first bytes of the last server's stream arrived; 0 for
	// none.
	firstEventAt monotime.Instant
	// goesOnAt is when the last server's stream was last reported as one that goes on; 0 for
	// never.
	goesOnAt monotime.Instant
	// received describes what has arrived of the last server's answer.
	received received
	// sentAt is when the last server was sent the request, and exposureObserved whether it
	// was reported for how long the run could be blamed for the server's end.
	sentAt           monotime.Instant
	exposureObserved bool

	// stream tracks what has been delivered of a stream so far.
	stream delivery

	// framing of the answer to the caller; empty before it has begun.
	framing framing
	// aborted means that the answer was broken off.
	aborted   bool
	status    int
	reason    verdict.Reason
	cause     error
	firstByte monotime.Instant
	// retryAfter is the Retry-After time of a refusal.
	retryAfter time.Duration
}

// serve gives the request its final answer.
func (f *forwarder) serve() {
	defer func() { f.Release(f.held) }()
	if problem := f.admit(); problem != nil {
		f.refuse(problem)
		return
	}
	ctx, cancel := context.WithDeadline(f.hr.Context(), f.deadline)
	defer cancel()
	f.ctx = ctx
	if problem := f.checkContent(); problem != nil {
		f.answerFailure(problem)
		return
	}
	if problem := f.bindVersion(); problem != nil {
		f.refuse(problem)
		return
	}
	f.excluded = make(map[string]bool)
	f.relay.cfg.Fleet.Count(f.service, f.arrived)
	f.sendUntilFinal()
}

// sendUntilFinal sends the request to servers until one answer is final.
func (f *forwarder) sendUntilFinal() {
	for {
		problem := f.sendOnce()
		if problem == nil {
			return
		}
		f.worst = verdict.Worst(f.worst, problem.Verdict)
		f.logFailedSend(problem)
		if f.expired() {
			f.answerExpired()
			return
		}
		if !f.maySendAgain(problem) {
			f.answerFailure(problem)
			return
		}
	}
}

// expired reports whether the caller left or the deadline passed. The deadline of the
// server's connection can fire slightly before the context's. An answer broken off by it
// also counts as expired and not as a failure of the server.
func (f *forwarder) expired() bool {
	return f.ctx.Err() != nil || !time.Now().Before(f.deadline)
}

// maySendAgain decides whether a failed request goes to a further server.
func (f *forwarder) maySendAgain(problem *verdict.Error) bool {
	switch {
	case problem.Reason == verdict.ReasonNoServer, problem.Reason == verdict.ReasonOverloaded,
		problem.Reason == verdict.ReasonCrashesServers, problem.Reason == verdict.ReasonMayCrashServers:
		return false
	case problem.Reason == verdict.ReasonConnect:
		// Nothing was sent, so it does not count as an attempt.
		return len(f.excluded) <= maxUnreachable
	case f.worst != verdict.NotRun && !f.route.MayRepeat():
		return false
	case f.worst == verdict.NotRun && !f.endsInDrain(monotime.Now()):
		// Another instance can serve it whole.
		return false
	case f.stream.begun() && !f.route.Resumable, !f.stream.resumable():
		return false
	case f.sends >= f.route.Attempts:
		return false
	case f.budgetSpent:
		f.budgetSpent = false
		return true
	default:
		return f.relay.cfg.Fleet.Spend(f.service, monotime.Now())
	}
}

// maxUnreachable bounds how many unreachable servers are skipped for one request. Each
// may cost ConnectTimeout.
const maxUnreachable = 4

// sendOnce sends the request to one server and delivers its answer.
func (f *forwarder) sendOnce() *verdict.Error {
	fleet := f.relay.cfg.Fleet
	target, refusal := f.place()
	switch refusal {
	case placement.NoneReachable:
		return verdict.New(verdict.NotRun, verdict.ReasonNoServer, "no server can be reached").After(f.retryAfterUnreachable())
	case placement.AllLimited:
		return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "all servers are rate limited (just started, announced a limit or asked for a pause) and at their limits").After(jitter(retryOverloaded))
	case placement.AllFull, placement.NotWorthwhile:
		return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, overloadMessage(target.Choice)).After(jitter(retryOverloaded))
	}
	f.target = target
	c, err := f.relay.pool.get(f.ctx, target, &f.work)
	if err != nil {
		f.excluded[target.ID] = true
		if !errors.Is(err, errPoolFull) && f.ctx.Err() == nil {
			fleet.Observe(target.ID, placement.Unreachable, monotime.Now())
		}
		return verdict.Wrap(verdict.NotRun, verdict.ReasonConnect, err).After(f.retryAfterUnreachable())
	}
	f.relay.cfg.Metrics.connected(target.Service, c.reused)
	f.excluded[target.ID] = true
	f.via = c.via
	if problem := f.checkContent(); problem != nil {
		f.relay.pool.putIdle(c, "")
		return problem
	}
	run, ok := fleet.Begin(target, f.work, monotime.Now())
	if !ok {
		f.relay.pool.putIdle(c, "")
		return verdict.New(verdict.NotRun, verdict.ReasonConnect, "the server is rate limited (just started, announced a limit or asked for a pause) and at its limit").After(retryFull)
	}
	f.sends++
	f.firstEventAt, f.goesOnAt = 0, 0
	f.sentAt, f.exposureObserved = monotime.Now(), false
	f.received = received{}
	defer func() { fleet.End(run, monotime.Now()) }()
	e, problem := send(f.ctx, f.relay.pool, c, f.encodeRequest(target), f.body, f.deadline)
	if problem != nil {
		f.reportUnanswered()
		fleet.Observe(target.ID, placement.Failed, monotime.Now())
		f.reportIfCrashed(problem)
		return problem
	}
	problem = f.receive(e, run)
	if problem != nil {
		f.reportIfCrashed(problem)
	}
	return problem
}

const (
	// rateLimitWaitShare is how long a request waits, as a share of its goal, where all
	// servers are rate limited; maxRateLimitWait bounds it. An owner of such a server
	// mostly gets a send each second, so most requests that would otherwise be refused in
	// between are served. A refused caller returns later than that, and only once.
	rateLimitWaitShare = 0.5
	maxRateLimitWait   = 500 * time.Millisecond
	// rateLimitPoll is the interval between attempts to place a waiting request. A longer
	// one would use sends late that become allowed meanwhile.
	rateLimitPoll = 25 * time.Millisecond
)

// place chooses a server. It may wait for one that is rate limited; nothing has been sent
// meanwhile.
func (f *forwarder) place() (Target, placement.Refusal) {
	wait := min(time.Duration(rateLimitWaitShare*float64(f.work.Goal)), maxRateLimitWait)
	until := monotime.Now().Add(wait)
	for {
		now := monotime.Now()
		f.updateTimeLeft()
		target, refusal := f.relay.cfg.Fleet.Place(f.service, f.work, f.excluded, now)
		if refusal != placement.AllLimited || now >= until {
			return target, refusal
		}
		if !timer.Sleep(rateLimitPoll, f.ctx.Done()) {
			return target, refusal
		}
	}
}

// encodeRequest encodes the request line and headers for a server.
func (f *forwarder) encodeRequest(target Target) []byte {
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

// originForm returns path and query as the caller sent them. For a request that names a
// whole URL, as to a proxy, it drops scheme and host.
func originForm(hr *http.Request) string {
	if strings.HasPrefix(hr.RequestURI, "/") {
		return hr.RequestURI
	}
	return hr.URL.RequestURI()
}
