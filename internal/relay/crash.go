package relay

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"basilrudder/internal/answerend"
	"basilrudder/internal/crashes"
	"basilrudder/internal/monotime"
	"basilrudder/internal/timer"
	"basilrudder/internal/verdict"
)

const (
	// crashWindow is how long after the first bytes of an answer the end of a server is
	// attributed to its request. A request that has run longer did not cause the crash by
	// being started.
	crashWindow = 500 * time.Millisecond
	// unmarkedEndDelay is how long after the end of an answer without a marked end its
	// server is examined. Busy servers have sent something else by then, which saves a
	// connection.
	unmarkedEndDelay = 150 * time.Millisecond
	// unmarkedProbeInterval is the least time between two probes for such answers, over all
	// servers. Services may end all their answers so, and each probe is a connection.
	unmarkedProbeInterval = 250 * time.Millisecond
	// lateBytes is how long after the end of a server bytes that it had sent may arrive.
	lateBytes = 50 * time.Millisecond
)

// fingerprint returns a hash of method, host, path with query, caller and body. It is
// computed once.
func (f *forwarder) fingerprint() crashes.Fingerprint {
	if f.cachedFingerprint != nil {
		return *f.cachedFingerprint
	}
	hash := sha256.New()
	for _, text := range []string{f.hr.Method, f.hr.Host, originForm(f.hr), f.caller()} {
		// Writes to a hash never fail.
		_, _ = io.WriteString(hash, text)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(f.body)
	f.cachedFingerprint = new(crashes.Fingerprint)
	copy(f.cachedFingerprint[:], hash.Sum(nil))
	return *f.cachedFingerprint
}

// maxContentParts bounds the parts of a prompt that are considered.
const maxContentParts = 32

// sharedParts returns the fingerprints of the parts of the prompt that other requests may
// share, which the last one is not. They are computed once.
func (f *forwarder) sharedParts() []crashes.Fingerprint {
	parts := f.request.Parts
	if f.cachedParts == nil && len(parts) > 1 {
		for _, part := range parts[:min(maxContentParts, len(parts)-1)] {
			f.cachedParts = append(f.cachedParts, crashes.PartFingerprint(part.ID))
		}
	}
	return f.cachedParts
}

// content returns what the request carries that may crash servers.
func (f *forwarder) content() crashes.Content {
	return crashes.Content{Request: f.fingerprint(), Parts: f.sharedParts(), Customer: f.callerName()}
}

// caller returns the customer's name, or the key where no customer is identified.
func (f *forwarder) caller() string {
	if f.customer != nil {
		return f.customer.Name
	}
	return f.request.Key
}

// checkContent returns why the request must not be sent, if it carries content that crashes
// servers or may do so.
func (f *forwarder) checkContent() *verdict.Error {
	fleet := f.relay.cfg.Fleet
	if !fleet.AnySuspected() {
		return nil
	}
	switch fleet.Decide(f.request.ID, f.content(), monotime.Now()) {
	case crashes.Reject:
		return verdict.Wrap(verdict.NotRun, verdict.ReasonCrashesServers, errPoison)
	case crashes.Postpone:
		return verdict.Wrap(verdict.NotRun, verdict.ReasonMayCrashServers, errSuspect).After(jitter(retrySuspect))
	}
	return nil
}

// reportSurvived reports that the server kept running after it had begun to answer the
// request. Only an answer whose end is marked shows that: a crash closes the connection too.
func (f *forwarder) reportSurvived(e *exchange, begunAt monotime.Instant) {
	if f.received.framing == framingClose || e.resp.StatusCode >= http.StatusMultipleChoices {
		return
	}
	f.survived(begunAt)
}

// reportGoesOn reports that the server kept running if it still sends events when its end
// would no longer be attributed to the request. Streams may go on for long; until their end,
// servers that end for another reason would accuse what they share. It is reported again
// while anything is suspected, because what the request carries may have become suspect.
func (f *forwarder) reportGoesOn() {
	now := monotime.Now()
	last := cmp.Or(f.goesOnAt, f.firstEventAt)
	if now.Sub(last) <= crashWindow {
		return
	}
	if f.goesOnAt == 0 || f.relay.cfg.Fleet.AnySuspected() {
		f.goesOnAt = now
		f.survived(f.firstEventAt)
	}
}

func (f *forwarder) survived(begunAt monotime.Instant) {
	fleet := f.relay.cfg.Fleet
	if !f.exposureObserved {
		f.exposureObserved = true
		fleet.ObserveExposure(begunAt.Sub(f.sentAt) + crashWindow)
	}
	survived := crashes.Content{Parts: f.sharedParts()}
	if fleet.AnySuspected() {
		survived = f.content()
	}
	fleet.Survived(survived, begunAt)
}

// callerName returns the caller's name for peers and logs. It never contains a key.
func (f *forwarder) callerName() string {
	if f.customer != nil || f.request.Key == "" {
		return f.caller()
	}
	digest := sha256.Sum256([]byte(f.request.Key))
	return "key " + hex.EncodeToString(digest[:4])
}

// reportIfCrashed checks whether a server that broke off an answer has ended, and reports
// a crash if it had just begun to run the request.
func (f *forwarder) reportIfCrashed(problem *verdict.Error) {
	now := monotime.Now()
	if problem.Reason != verdict.ReasonUpstreamLost || problem.Verdict == verdict.NotRun || f.ctx.Err() != nil {
		return
	}
	if f.firstEventAt != 0 && now.Sub(f.firstEventAt) > crashWindow {
		f.logNotCounted("the answer had begun long before", now)
		return
	}
	if !f.relay.probes.ended(f.ctx, f.target) {
		f.logNotCounted("the server was not found to refuse connections", now)
		f.relay.cfg.Fleet.BrokeOff(f.target, f.crashOf(now), now)
		return
	}
	f.relay.reportCrash(f.crashOf(now), f.request.ID)
}

// crashOf returns the crash of the server under the request.
func (f *forwarder) crashOf(at monotime.Instant) crashes.Crash {
	content := f.content()
	return crashes.Crash{Request: content.Request, Parts: content.Parts, Customer: content.Customer, Server: f.target.ID, At: at}
}

func (r *Relay) reportCrash(crash crashes.Crash, id string) {
	r.cfg.Log.Info("server_crashed", zap.String("id", id), zap.String("server", crash.Server),
		zap.Stringer("request", crash.Request), zap.Stringers("parts", crash.Parts), zap.String("customer", crash.Customer))
	r.cfg.Fleet.Crashed(crash, monotime.Now())
}

// checkUnmarkedEnd finds out whether the server crashed where an answer without a marked end
// was closed soon after its begin. A server that sends something afterwards did not: its end
// later has another cause. The caller does not wait for that.
func (f *forwarder) checkUnmarkedEnd(e *exchange, begunAt monotime.Instant) {
	now := monotime.Now()
	if f.received.framing != framingClose || now.Sub(begunAt) > crashWindow {
		return
	}
	crash, target, id, r := f.crashOf(now), f.target, f.request.ID, f.relay
	outlived := func() {
		if e.resp.StatusCode < http.StatusMultipleChoices {
			r.cfg.Fleet.Survived(crash.Content(), begunAt)
		}
	}
	if f.received.end.evidence.Probe == answerend.Identified {
		outlived()
		return
	}
	r.answers.watch()
	go func() {
		defer r.answers.unwatch()
		timer.Sleep(unmarkedEndDelay, nil)
		if r.answers.since(target.ID, crash.At.Add(lateBytes)) {
			outlived()
			return
		}
		switch r.endProbes.examine(context.Background(), target, crash.At, r.mayProbeUnmarked) {
		case answerend.Identified:
			outlived()
		case answerend.Refused:
			r.reportCrash(crash, id)
		default:
			r.cfg.Fleet.BrokeOff(target, crash, monotime.Now())
		}
	}()
}

// logNotCounted logs that a broken answer is not taken for a crash of its server.
func (f *forwarder) logNotCounted(why string, now monotime.Instant) {
	fields := []zap.Field{zap.String("id", f.request.ID), zap.String("server", f.target.ID), zap.String("reason", why)}
	if f.firstEventAt != 0 {
		fields = append(fields, zap.Duration("answered_ms", now.Sub(f.firstEventAt)))
	}
	f.relay.cfg.Log.Info("crash_not_counted", append(fields, f.received.fields()...)...)
}

// mayProbeUnmarked reports whether a server may be probed because an answer of it had no
// marked end, and records the probe.
func (r *Relay) mayProbeUnmarked() bool {
	now, last := int64(monotime.Now()), r.unmarkedProbeAt.Load()
	return (last == 0 || now-last >= int64(unmarkedProbeInterval)) && r.unmarkedProbeAt.CompareAndSwap(last, now)
}

var errSuspect = errors.New("servers ended under this content, perhaps for other reasons; another request with it is tried first")

var errPoison = errors.New("servers crash when they run this request; it was not sent to another one")

// refusePoison ends a request that crashes servers. Callers do not retry after this
// status.
func (f *forwarder) refusePoison() {
	f.refuse(fail(http.StatusBadRequest, verdict.ReasonCrashesServers, errPoison))
}

// answerTimes holds when each server last sent a part of an answer, while anything watches
// for that.
type answerTimes struct {
	// watching is the number of calls of watch without one of unwatch. While it is zero,
	// answers take no lock.
	watching atomic.Int64

	mu sync.Mutex
	at map[string]monotime.Instant
}

func (a *answerTimes) watch() { a.watching.Add(1) }

func (a *answerTimes) unwatch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.watching.Add(-1) == 0 {
		clear(a.at)
	}
}

func (a *answerTimes) record(server string, now monotime.Instant) {
	if a.watching.Load() == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.at == nil {
		a.at = make(map[string]monotime.Instant)
	}
	a.at[server] = now
}

// since reports whether a server has sent a part of an answer after an instant.
func (a *answerTimes) since(server string, after monotime.Instant) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.at[server]
	return ok && at > after
}
