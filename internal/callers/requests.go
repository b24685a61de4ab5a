package callers

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"basilrudder/internal/answers"
	"basilrudder/internal/catalog"
	"basilrudder/internal/schema/callerapi"
	"basilrudder/internal/verdict"
)

// headerLastEventID is the header field with which browsers resume an event stream.
const headerLastEventID = "Last-Event-ID"

// serveRequest serves GET /v1/requests/{id} and GET /v1/requests/{id}/answer.
func (s *Server) serveRequest(ctx *fasthttp.RequestCtx) {
	rest := string(ctx.Request.URI().PathOriginal()[len(pathRequests):])
	id, answer := strings.CutSuffix(rest, suffixAnswer)
	if id == "" || !validID(id) {
		s.refuse(ctx, "", verdict.New(verdict.MayHaveRun, verdict.ReasonBadRequest, "the path holds no request id"))
		return
	}
	customer := s.authenticate(&ctx.Request.Header)
	if customer == nil {
		s.refuse(ctx, id, unauthorizedError(verdict.MayHaveRun))
		return
	}
	c := call{customer: customer, id: id}
	if err := s.locate(ctx, &c); err != nil {
		s.refuse(ctx, id, err)
		return
	}
	if c.home != "" {
		s.relay(ctx, id, c.home)
		return
	}
	log, found := s.backend.Find(customer.Name, id)
	switch {
	case !found:
		s.refuse(ctx, id, unknownRequestError())
	case answer:
		s.serveAnswer(ctx, customer, id, log)
	default:
		s.serveState(ctx, id, log)
	}
}

// unknownRequestError has the verdict "may have run" since the request may still be in
// transit. Sending it again under the same id is safe and yields its outcome.
func unknownRequestError() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonUnknownRequest,
		"no request of this customer is known under the id; it may be on its way, or an older one that is forgotten")
}

func (s *Server) serveState(ctx *fasthttp.RequestCtx, id string, log *answers.Log) {
	state, end := log.Status()
	v := verdict.MayHaveRun
	switch {
	case end != nil:
		v = end.Verdict
	case state != answers.Waiting:
		v = verdict.Ran
	}
	body, err := json.Marshal(callerapi.RequestState{
		RequestID: id,
		State:     state.String(),
		Tokens:    log.Len(),
		Verdict:   callerapi.Verdict(v.String()),
	})
	if err != nil {
		s.refuse(ctx, id, verdict.Wrap(verdict.MayHaveRun, verdict.ReasonInternal, err))
		return
	}
	setHeaders(ctx, id, v)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// serveAnswer sends the answer again, whole or as a stream from an offset.
func (s *Server) serveAnswer(ctx *fasthttp.RequestCtx, customer *catalog.Customer, id string, log *answers.Log) {
	offset, streamed, err := resumeFrom(ctx)
	if err != nil {
		s.refuse(ctx, id, err)
		return
	}
	f := s.follow(ctx, customer, id, log)
	if streamed && log.About().Model != "" {
		s.answerStream(ctx, f, offset)
		return
	}
	s.answerWhole(ctx, f)
}

// resumeFrom returns the offset of the first requested token, and whether the answer is
// to be streamed.
func resumeFrom(ctx *fasthttp.RequestCtx) (offset int, streamed bool, err *verdict.Error) {
	if text := ctx.QueryArgs().Peek("offset"); len(text) > 0 {
		offset, parseErr := strconv.Atoi(string(text))
		if parseErr != nil || offset < 0 {
			return 0, false, verdict.New(verdict.MayHaveRun, verdict.ReasonBadRequest, "offset must be a number from 0")
		}
		return offset, true, nil
	}
	if text := ctx.Request.Header.Peek(headerLastEventID); len(text) > 0 {
		last, parseErr := strconv.Atoi(string(text))
		if parseErr != nil || last < 0 {
			return 0, false, verdict.New(verdict.MayHaveRun, verdict.ReasonBadRequest, headerLastEventID+" must be an offset")
		}
		return last + 1, true, nil
	}
	accept := ctx.Request.Header.Peek(fasthttp.HeaderAccept)
	return 0, bytes.Contains(accept, []byte("text/event-stream")), nil
}
