package callers

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"basilrudder/internal/timer"
	"basilrudder/internal/verdict"
)

// homeRetryAfter is the Retry-After, under the same id, of a request whose home could not
// be reached. A shorter one makes callers retry before the fleet's state has changed.
const homeRetryAfter = time.Second

// relayLoopError returns the refusal of a request that another instance relayed here
// although its id is not bound to this instance either.
func relayLoopError() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonHomeUnreachable,
		"instances do not agree on where the id is bound").After(homeRetryAfter)
}

// relayedRequest is a request that is relayed to its home, the instance that its id is
// bound to. It is the body of the response to the caller.
type relayedRequest struct {
	server     *Server
	id         string
	callerConn *conn
	homeConn   net.Conn
	ctx        context.Context
	cancel     context.CancelCauseFunc
	response   *fasthttp.Response
	body       io.Reader
}

// relay sends a request to its home and streams the answer back. Every failure has the
// verdict "may have run": only the home has a record of whether the id ran before.
func (s *Server) relay(ctx *fasthttp.RequestCtx, id, address string) {
	s.counts.relayed.Add(1)
	r := &relayedRequest{server: s, id: id}
	r.ctx, r.cancel = context.WithCancelCause(s.ctx)
	if c, ok := ctx.Conn().(*conn); ok {
		r.callerConn = c
		c.watch(func() { r.cancel(errCallerGone) })
	}
	if err := r.exchange(ctx, address); err != nil {
		failure := r.failure(err)
		_ = r.Close()
		s.refuse(ctx, id, failure)
		return
	}
	r.startAnswer(ctx)
}

// exchange sends the request to the home and reads the header of the answer.
func (r *relayedRequest) exchange(ctx *fasthttp.RequestCtx, address string) error {
	dialCtx, cancel := context.WithTimeout(r.ctx, relayDialTimeout)
	defer cancel()
	home, err := r.server.cfg.Dial(dialCtx, address)
	if err != nil {
		return errors.Wrap(err, "connect to the home instance")
	}
	r.homeConn = &stallTimeoutConn{Conn: home, stallTimeout: r.server.cfg.WriteStall}
	context.AfterFunc(r.ctx, func() { _ = home.Close() })
	go r.checkHome()
	if err := r.send(ctx); err != nil {
		return errors.Wrap(err, "send to the home instance")
	}
	r.response = fasthttp.AcquireResponse()
	r.response.StreamBody = true
	r.response.SkipBody = ctx.IsHead()
	if err := r.response.ReadLimitBody(bufio.NewReader(r.homeConn), 0); err != nil {
		return errors.Wrap(err, "read from the home instance")
	}
	return nil
}

func (r *relayedRequest) send(ctx *fasthttp.RequestCtx) error {
	var request fasthttp.Request // a pooled one would keep what a large head takes
	ctx.Request.Header.CopyTo(&request.Header)
	request.SetBodyRaw(ctx.Request.Body()) // not copied: only the original is counted
	request.URI().DisablePathNormalizing = true
	request.Header.Del(fasthttp.HeaderExpect)
	request.Header.Set(HeaderRelayed, "1")
	request.SetConnectionClose()
	writer := bufio.NewWriter(r.homeConn)
	if err := request.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// checkHome cancels the exchange when the home has left the fleet or is unresponsive.
// Otherwise a home that fails without closing its connections would keep the caller
// waiting until TCP times out.
func (r *relayedRequest) checkHome() {
	ticker := timer.NewTicker(r.server.cfg.HomeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		if _, _, err := r.server.backend.Home(r.id); err != nil {
			r.cancel(err)
			return
		}
	}
}

func (r *relayedRequest) failure(err error) *verdict.Error {
	var homeErr *verdict.Error
	switch cause := context.Cause(r.ctx); {
	case errors.Is(cause, errCallerGone):
		return verdict.Wrap(verdict.MayHaveRun, verdict.ReasonCallerGone, cause)
	case errors.As(cause, &homeErr):
		return homeErr
	default:
		return verdict.Wrap(verdict.MayHaveRun, verdict.ReasonHomeUnreachable, err).After(homeRetryAfter)
	}
}

// startAnswer copies the status and header of the home's answer and sets its body as a
// stream.
func (r *relayedRequest) startAnswer(ctx *fasthttp.RequestCtx) {
	const identityLength = -2
	contentLength := r.response.Header.ContentLength()
	if contentLength == identityLength {
		// Its end would look like a lost connection.
		_ = r.Close()
		s := r.server
		s.refuse(ctx, r.id, r.failure(errors.New("the home instance sent an answer without a length")))
		return
	}
	ctx.SetStatusCode(r.response.StatusCode())
	for key, value := range r.response.Header.All() {
		if !notForwarded[lowerASCII(key)] || isOwnHeader(key) {
			ctx.Response.Header.AddBytesKV(key, value)
		}
	}
	r.body = r.response.BodyStream()
	if r.body == nil {
		_ = r.Close()
		return
	}
	ctx.SetBodyStream(r, contentLength)
}

// isOwnHeader reports whether the home itself sets the field.
func isOwnHeader(key []byte) bool {
	switch string(key) {
	case HeaderRequestID, HeaderVerdict, HeaderShouldRetry:
		return true
	default:
		return false
	}
}

func lowerASCII(key []byte) string {
	out := make([]byte, len(key))
	for i, b := range key {
		if 'A' <= b && b <= 'Z' {
			b += 'a' - 'A'
		}
		out[i] = b
	}
	return string(out)
}

// Read implements io.Reader. After an error before the end, the server closes the
// connection, which shows the caller that the answer is truncated.
func (r *relayedRequest) Read(p []byte) (int, error) {
	return r.body.Read(p)
}

// Close implements io.Closer.
func (r *relayedRequest) Close() error {
	if r.callerConn != nil {
		r.callerConn.unwatch()
	}
	r.cancel(nil)
	if r.homeConn != nil {
		_ = r.homeConn.Close()
	}
	if r.response != nil {
		_ = r.response.CloseBodyStream()
		fasthttp.ReleaseResponse(r.response)
		r.response = nil
	}
	return nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	setTCPTimeouts(c, defaultWriteStall)
	return c, nil
}

// stallTimeoutConn is a connection whose writes fail after stallTimeout without progress.
type stallTimeoutConn struct {
	net.Conn
	stallTimeout time.Duration
}

// Write implements net.Conn.
func (c *stallTimeoutConn) Write(p []byte) (int, error) {
	return writeWithStallTimeout(c.Conn, p, c.stallTimeout)
}
