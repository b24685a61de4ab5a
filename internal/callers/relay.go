package callers

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"basilrudder/internal/verdict"
)

// homeRetry is when a caller whose request's home was not reached should come
// back with the same id.
const homeRetry = time.Second

// relayLoop refuses a request that another instance relayed here although the
// id is not bound to this instance either.
func relayLoop() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonHomeUnreachable,
		"instances do not agree on where the id is bound").After(homeRetry)
}

// relayed is a request passed on to the instance its id is bound to.
type relayed struct {
	server   *Server
	id       string
	caller   *conn
	home     net.Conn
	ctx      context.Context
	cancel   context.CancelCauseFunc
	response *fasthttp.Response
	body     io.Reader
}

// relay passes a request on and streams the answer back. Every failure is "may
// have run": only the home knows whether the id ran before.
func (s *Server) relay(ctx *fasthttp.RequestCtx, id, address string) {
	s.counts.relayed.Add(1)
	r := &relayed{server: s, id: id}
	r.ctx, r.cancel = context.WithCancelCause(s.ctx)
	if c, ok := ctx.Conn().(*conn); ok {
		r.caller = c
		c.watch(func() { r.cancel(errCallerGone) })
	}
	if err := r.exchange(ctx, address); err != nil {
		failure := r.failure(err)
		_ = r.Close()
		s.refuse(ctx, id, failure)
		return
	}
	r.answer(ctx)
}

// exchange sends the request and reads the header of the answer.
func (r *relayed) exchange(ctx *fasthttp.RequestCtx, address string) error {
	dialCtx, done := context.WithTimeout(r.ctx, relayDialTimeout)
	defer done()
	home, err := r.server.cfg.Dial(dialCtx, address)
	if err != nil {
		return errors.Wrap(err, "connect to the home instance")
	}
	r.home = &stallingConn{Conn: home, stall: r.server.cfg.WriteStall}
	context.AfterFunc(r.ctx, func() { _ = home.Close() })
	go r.checkHome()
	if err := r.send(ctx); err != nil {
		return errors.Wrap(err, "send to the home instance")
	}
	r.response = fasthttp.AcquireResponse()
	r.response.StreamBody = true
	r.response.SkipBody = ctx.IsHead()
	if err := r.response.ReadLimitBody(bufio.NewReader(r.home), 0); err != nil {
		return errors.Wrap(err, "read from the home instance")
	}
	return nil
}

func (r *relayed) send(ctx *fasthttp.RequestCtx) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	ctx.Request.CopyTo(request)
	request.URI().DisablePathNormalizing = true
	request.Header.Del(fasthttp.HeaderExpect)
	request.Header.Set(HeaderRelayed, "1")
	request.SetConnectionClose()
	writer := bufio.NewWriter(r.home)
	if err := request.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// checkHome ends the exchange when the home has left the fleet or fallen silent.
// A home that died silently would otherwise hold the caller for as long as TCP
// takes.
func (r *relayed) checkHome() {
	ticker := time.NewTicker(r.server.cfg.HomeCheck)
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

func (r *relayed) failure(err error) *verdict.Error {
	var home *verdict.Error
	switch cause := context.Cause(r.ctx); {
	case errors.Is(cause, errCallerGone):
		return verdict.Wrap(verdict.MayHaveRun, verdict.ReasonCallerGone, cause)
	case errors.As(cause, &home):
		return home
	default:
		return verdict.Wrap(verdict.MayHaveRun, verdict.ReasonHomeUnreachable, err).After(homeRetry)
	}
}

// answer starts the answer to the caller.
func (r *relayed) answer(ctx *fasthttp.RequestCtx) {
	const identity = -2
	size := r.response.Header.ContentLength()
	if size == identity {
		// Its end could not be told from a lost connection.
		_ = r.Close()
		s := r.server
		s.refuse(ctx, r.id, r.failure(errors.New("the home instance sent an answer without a length")))
		return
	}
	ctx.SetStatusCode(r.response.StatusCode())
	for key, value := range r.response.Header.All() {
		if !hopByHop[lowerASCII(key)] || ownHeader(key) {
			ctx.Response.Header.AddBytesKV(key, value)
		}
	}
	r.body = r.response.BodyStream()
	if r.body == nil {
		_ = r.Close()
		return
	}
	ctx.SetBodyStream(r, size)
}

// ownHeader reports whether the field is set by this system, at the home.
func ownHeader(key []byte) bool {
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

// Read implements io.Reader. An error before the end makes the server close
// the connection, so that the caller sees that the answer was cut.
func (r *relayed) Read(p []byte) (int, error) {
	return r.body.Read(p)
}

// Close implements io.Closer.
func (r *relayed) Close() error {
	if r.caller != nil {
		r.caller.unwatch()
	}
	r.cancel(nil)
	if r.home != nil {
		_ = r.home.Close()
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
	watchSilence(c, defaultWriteStall)
	return c, nil
}

// stallingConn bounds the time without progress of each write.
type stallingConn struct {
	net.Conn
	stall time.Duration
}

// Write implements net.Conn.
func (c *stallingConn) Write(p []byte) (int, error) {
	return writePieces(c.Conn, p, c.stall)
}
