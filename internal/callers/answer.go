package callers

import (
	"strings"

	"github.com/valyala/fasthttp"

	"basilrudder/internal/answers"
	"basilrudder/internal/verdict"
)

// answerStream waits for the first token and then streams the answer from offset. A
// failure before the first token is an ordinary refusal.
func (s *Server) answerStream(ctx *fasthttp.RequestCtx, f *follower, offset int) {
	if !ctx.Request.Header.IsHTTP11() {
		s.answerStreamWhole(ctx, f, offset)
		return
	}
	body := &sseBody{
		follower: f,
		encoder:  newChunkEncoder(f.id, f.log.Metadata()),
		offset:   offset,
	}
	body.events, body.answerEnded, body.err = f.log.Next(f.ctx, offset)
	if body.err != nil && len(body.events) == 0 {
		s.answerError(ctx, f, body.answerEnded, body.err)
		return
	}
	body.offset += len(body.events)
	setStreamHeaders(ctx, f.id)
	ctx.SetBodyStream(body, -1)
}

func setStreamHeaders(ctx *fasthttp.RequestCtx, id string) {
	setHeaders(ctx, id, verdict.Ran)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
}

// answerStreamWhole waits for the end of the answer and writes its events with a length.
// HTTP/1.0 has no chunks, and a body that ends with its connection looks whole when cut off.
func (s *Server) answerStreamWhole(ctx *fasthttp.RequestCtx, f *follower, offset int) {
	if !s.waitForEnd(ctx, f) {
		return
	}
	events, _, _ := f.log.Next(f.ctx, offset)
	encoder := newChunkEncoder(f.id, f.log.Metadata())
	var body []byte
	for i := range events {
		body = encoder.appendChunk(body, &events[i])
	}
	setStreamHeaders(ctx, f.id)
	ctx.SetBody(append(body, streamEnd...))
	f.deliver()
}

// waitForEnd waits for the end of the answer and reports whether it is complete. If not, the
// refusal is in the response.
func (s *Server) waitForEnd(ctx *fasthttp.RequestCtx, f *follower) bool {
	if err := f.log.Wait(f.ctx); err != nil {
		state, _ := f.log.Status()
		s.answerError(ctx, f, state == answers.Failed, err)
		return false
	}
	f.unwatch()
	return true
}

// answerWhole waits for the end of the answer and writes all of it.
func (s *Server) answerWhole(ctx *fasthttp.RequestCtx, f *follower) {
	if !s.waitForEnd(ctx, f) {
		return
	}
	setHeaders(ctx, f.id, verdict.Ran)
	if service := f.log.Service(); service != nil {
		writeServiceAnswer(ctx, service)
	} else {
		events, _, _ := f.log.Next(f.ctx, 0)
		ctx.SetContentType("application/json")
		ctx.SetBody(appendCompletion(nil, f.id, f.log.Metadata(), events))
	}
	f.deliver()
}

// answerError answers with a refusal. If the answer has not ended and the caller is
// still connected, the instance is shutting down. If it has ended, the refusal counts
// as delivered once it is written.
func (s *Server) answerError(ctx *fasthttp.RequestCtx, f *follower, done bool, err *verdict.Error) {
	f.unwatch()
	if !done && !f.callerGone() {
		err = stoppingError()
	}
	s.refuse(ctx, f.id, err)
	if done {
		f.deliver()
		return
	}
	f.detach()
	ctx.SetConnectionClose()
}

// notForwarded holds the hop-by-hop header fields and those that this system sets
// itself, in lower case.
var notForwarded = map[string]bool{
	"connection":          true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"proxy-connection":    true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
	"content-length":      true,
	"date":                true,
	"server":              true,
	"x-request-id":        true,
	"x-verdict":           true,
	"x-should-retry":      true,
}

func writeServiceAnswer(ctx *fasthttp.RequestCtx, service *answers.ServiceAnswer) {
	ctx.SetStatusCode(service.Status)
	for _, h := range service.Headers {
		if !notForwarded[strings.ToLower(h.Name)] {
			ctx.Response.Header.Add(h.Name, h.Value)
		}
	}
	ctx.SetBody(service.Body)
}
