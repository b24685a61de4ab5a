package callers

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"basilrudder/internal/membudget"
	"basilrudder/internal/netconn"
	"basilrudder/internal/schema/callerapi"
	"basilrudder/internal/verdict"
)

// refusalType distinguishes refusals of this system from errors of others.
const refusalType = "basilrudder_refusal"

// statusCallerGone is the status of a request whose caller closed the connection. It
// appears in accounting only.
const statusCallerGone = 499

// Status returns the HTTP status for err.
func Status(err *verdict.Error) int {
	if status, ok := statusByReason[err.Reason]; ok {
		return status
	}
	return fasthttp.StatusInternalServerError
}

// statusByReason maps a reason to its HTTP status. Client libraries retry 409 and 429
// automatically, so these are not used where a retry cannot succeed.
var statusByReason = map[verdict.Reason]int{
	verdict.ReasonBadRequest:      fasthttp.StatusBadRequest,
	verdict.ReasonTooLarge:        fasthttp.StatusRequestEntityTooLarge,
	verdict.ReasonUnauthorized:    fasthttp.StatusUnauthorized,
	verdict.ReasonForbidden:       fasthttp.StatusForbidden,
	verdict.ReasonUnknownClass:    fasthttp.StatusBadRequest,
	verdict.ReasonUnknownRequest:  fasthttp.StatusNotFound,
	verdict.ReasonUnboundKey:      fasthttp.StatusUnprocessableEntity,
	verdict.ReasonIDExpired:       fasthttp.StatusGone,
	verdict.ReasonHomeGone:        fasthttp.StatusGone,
	verdict.ReasonHomeUnreachable: fasthttp.StatusServiceUnavailable,
	verdict.ReasonRateLimited:     fasthttp.StatusTooManyRequests,
	verdict.ReasonOverloaded:      fasthttp.StatusServiceUnavailable,
	verdict.ReasonDeadline:        fasthttp.StatusGatewayTimeout,
	verdict.ReasonNoServer:        fasthttp.StatusServiceUnavailable,
	verdict.ReasonNotReady:        fasthttp.StatusServiceUnavailable,
	verdict.ReasonIsolated:        fasthttp.StatusServiceUnavailable,
	verdict.ReasonPaused:          fasthttp.StatusServiceUnavailable,
	verdict.ReasonDraining:        fasthttp.StatusServiceUnavailable,
	verdict.ReasonRetryBudget:     fasthttp.StatusServiceUnavailable,
	verdict.ReasonConnect:         fasthttp.StatusBadGateway,
	verdict.ReasonUpstreamRefused: fasthttp.StatusServiceUnavailable,
	verdict.ReasonUpstreamLost:    fasthttp.StatusBadGateway,
	verdict.ReasonUpstreamSilent:  fasthttp.StatusGatewayTimeout,
	verdict.ReasonUpstreamError:   fasthttp.StatusBadGateway,
	verdict.ReasonCallerGone:      statusCallerGone,
	verdict.ReasonInternal:        fasthttp.StatusInternalServerError,
}

// refuse answers with a typed refusal.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, id string, err *verdict.Error) {
	s.counts.refusals.Add(string(err.Reason), 1)
	ctx.Response.ResetBody()
	ctx.SetStatusCode(Status(err))
	ctx.SetContentType("application/json")
	setHeaders(ctx, id, err.Verdict)
	if err.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds(err.RetryAfter))
	}
	if err.Verdict != verdict.NotRun {
		ctx.Response.Header.Set(HeaderShouldRetry, "false")
	}
	ctx.SetBody(refusalJSON(id, err))
}

// refuseCall refuses a request. If it did not run and its customer is authenticated, the
// backend accounts the refusal, which reports then show for that customer.
func (s *Server) refuseCall(ctx *fasthttp.RequestCtx, c *call, err *verdict.Error) {
	if c.customer != nil && err.Verdict == verdict.NotRun {
		s.backend.Refused(c.customer, c.class, c.id, err)
	}
	s.refuse(ctx, c.id, err)
}

func setHeaders(ctx *fasthttp.RequestCtx, id string, v verdict.Verdict) {
	if id != "" {
		ctx.Response.Header.Set(HeaderRequestID, id)
	}
	ctx.Response.Header.Set(HeaderVerdict, v.String())
}

// refusalJSON returns the body of a refusal.
func refusalJSON(id string, err *verdict.Error) []byte {
	body, marshalErr := json.Marshal(callerapi.Refusal{Error: callerapi.RefusalError{
		Type:         refusalType,
		Verdict:      callerapi.Verdict(err.Verdict.String()),
		Reason:       string(err.Reason),
		Message:      err.Message,
		RequestID:    id,
		RetryAfterMS: int(math.Ceil(float64(err.RetryAfter) / float64(time.Millisecond))),
	}})
	if marshalErr != nil {
		// Strings and numbers always marshal.
		panic(marshalErr)
	}
	return body
}

// retryAfterSeconds rounds up to whole seconds: rounding down would invite retries that
// come too early.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// refuseBody refuses a request whose body could not be read or held.
func (s *Server) refuseBody(ctx *fasthttp.RequestCtx, cause error) {
	if !errors.Is(cause, membudget.ErrNone) {
		s.refuseUnreadable(ctx, cause)
		return
	}
	ctx.SetConnectionClose()
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	err := verdict.New(s.earlyVerdict(nil, id), verdict.ReasonOverloaded, "this instance has no memory left for the request")
	s.refuse(ctx, id, err.After(connectionRetryAfter))
}

// refuseUnreadable refuses a request that could not be read. A request that is too large
// was so at every earlier attempt, so it never ran.
func (s *Server) refuseUnreadable(ctx *fasthttp.RequestCtx, cause error) {
	ctx.SetConnectionClose()
	if s.backend.Catalog() == nil {
		s.refuseNotReady(ctx)
		return
	}
	if errors.Is(cause, fasthttp.ErrBodyTooLarge) && s.authenticate(&ctx.Request.Header) == nil {
		id := string(ctx.Request.Header.Peek(HeaderRequestID))
		s.refuse(ctx, "", unauthorizedError(s.earlyVerdict(nil, id)))
		return
	}
	s.refuse(ctx, "", unreadableError(cause))
	if status := unreadableStatus(cause); status != 0 {
		ctx.SetStatusCode(status)
	}
}

func unreadableError(cause error) *verdict.Error {
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(cause, fasthttp.ErrBodyTooLarge):
		return verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the request body is larger than this instance accepts")
	case errors.As(cause, &smallBuffer):
		return verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the request header is larger than this instance accepts")
	case netconn.IsTimeout(cause):
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the request was not sent in time")
	default:
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the request is not valid HTTP")
	}
}

func unreadableStatus(cause error) int {
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(cause, &smallBuffer):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case netconn.IsTimeout(cause):
		return fasthttp.StatusRequestTimeout
	default:
		return 0
	}
}
