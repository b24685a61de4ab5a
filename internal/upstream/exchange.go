package upstream

import (
	"context"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"basilrudder/internal/enginehttp"
	"basilrudder/internal/verdict"
)

// exchange is one request on one connection and its answer.
type exchange struct {
	client *Client
	ctx    context.Context
	target Target
	counts *callCounters
	conn   *conn
	resp   *fasthttp.Response
	// started says that the upstream is known to have started the request.
	started bool
	// resuming says that the request was sent by an earlier exchange.
	resuming bool
	// stopWatching ends the watch on ctx.
	stopWatching func() bool
}

// open connects to the target. forceDial asks for a new connection.
func (c *Client) open(ctx context.Context, target Target, kind Kind, forceDial bool) (*exchange, *verdict.Error) {
	x := &exchange{client: c, ctx: ctx, target: target, counts: &c.counters.kinds[kind]}
	x.counts.calls.Add(1)
	if !forceDial {
		x.conn = c.pool.get(target.Address)
	}
	if x.conn == nil {
		cn, err := c.dial(ctx, target.Address)
		if err != nil {
			x.counts.errors.Add(1)
			return nil, connectError(ctx, target, err)
		}
		x.conn = cn
	}
	x.conn.resetCounts()
	x.resp = fasthttp.AcquireResponse()
	// A caller that goes away must free its reader at once, not at the next
	// timeout: closing the connection is what ends a read that waits.
	x.stopWatching = context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	return x, nil
}

// connectError is "not run": without a connection no byte was written.
func connectError(ctx context.Context, target Target, err error) *verdict.Error {
	reason := verdict.ReasonConnect
	if ctx.Err() != nil {
		reason = contextReason(ctx)
	}
	return verdict.Wrap(verdict.NotRun, reason, errors.Wrapf(err, "connect to %s", target.Server))
}

// send writes the request and reads the header of the answer.
func (x *exchange) send(req *fasthttp.Request, timeout time.Duration) *verdict.Error {
	if err := x.conn.SetWriteDeadline(time.Now().Add(x.client.cfg.WriteTimeout)); err != nil {
		return x.fail(err, "set deadline")
	}
	if err := req.Write(x.conn.writer); err != nil {
		return x.fail(err, "write request")
	}
	if err := x.conn.writer.Flush(); err != nil {
		return x.fail(err, "write request")
	}
	if err := x.conn.setFixedDeadline(time.Now().Add(timeout)); err != nil {
		return x.fail(err, "set deadline")
	}
	if err := x.readHeader(); err != nil {
		return x.fail(err, "read answer")
	}
	x.started = hasFlag(x.resp, enginehttp.HeaderStarted)
	return nil
}

// maxInterimAnswers bounds the informational answers before the final one.
const maxInterimAnswers = 3

func (x *exchange) readHeader() error {
	for range maxInterimAnswers {
		if err := x.resp.Header.Read(x.conn.reader); err != nil {
			return err
		}
		if x.resp.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return errors.New("too many informational answers")
}

func hasFlag(resp *fasthttp.Response, header string) bool {
	return string(resp.Header.Peek(header)) == enginehttp.True
}

// finish gives the connection back when the whole answer was read.
func (x *exchange) finish() {
	cn := x.conn
	x.counts.addBytes(cn)
	reusable := !x.resp.ConnectionClose()
	fasthttp.ReleaseResponse(x.resp)
	if !x.stopWatching() || !reusable {
		_ = cn.Close()
		return
	}
	x.client.pool.put(cn)
}

// abort closes the connection.
func (x *exchange) abort() {
	x.stopWatching()
	_ = x.conn.Close()
	x.counts.addBytes(x.conn)
	// The response is left to the collector: its body stream may still refer to
	// the reader of the connection.
}

// verdictOnFailure returns what is verdictOnFailure about the execution of the request when the
// connection fails.
func (x *exchange) verdictOnFailure() verdict.Verdict {
	switch {
	case x.started:
		return verdict.Ran
	case x.conn.written == 0:
		return verdict.NotRun
	default:
		return verdict.MayHaveRun
	}
}

// fail ends the exchange after an error of the connection.
func (x *exchange) fail(err error, operation string) *verdict.Error {
	x.counts.errors.Add(1)
	reason := x.failureReason(err)
	if reason == verdict.ReasonUpstreamSilent {
		x.client.pool.closeAddress(x.target.Address)
	}
	x.abort()
	return verdict.Wrap(x.verdictOnFailure(), reason, errors.Wrapf(err, "%s: %s", x.target.Server, operation))
}

func (x *exchange) failureReason(err error) verdict.Reason {
	if x.ctx.Err() != nil {
		return contextReason(x.ctx)
	}
	var timeoutErr interface{ Timeout() bool }
	if errors.As(err, &timeoutErr) && timeoutErr.Timeout() {
		return verdict.ReasonUpstreamSilent
	}
	var netErr *net.OpError
	connectionLost := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, io.ErrClosedPipe) || errors.As(err, &netErr)
	if connectionLost {
		return verdict.ReasonUpstreamLost
	}
	return verdict.ReasonUpstreamError
}

func contextReason(ctx context.Context) verdict.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.ReasonDeadline
	}
	return verdict.ReasonCallerGone
}

// failStatus turns an answer without success into an error and ends the exchange.
func (x *exchange) failStatus() *verdict.Error {
	x.counts.errors.Add(1)
	v, reason := x.classifyStatus()
	delay := retryAfter(x.resp)
	message := x.target.Server + " answered " + strconv.Itoa(x.resp.StatusCode())
	if err := x.readBody(maxRefusalBytes); err != nil {
		x.abort()
	} else {
		body := x.resp.Body()
		message += ": " + string(body[:min(len(body), maxMessageBytes)])
		x.finish()
	}
	return verdict.New(v, reason, message).After(delay)
}

// classifyStatus gives the verdict of an answer without success.
//
// Only the upstream itself can say that it did not start a request whose bytes
// have left; a status alone may have another cause, so it proves nothing.
func (x *exchange) classifyStatus() (verdict.Verdict, verdict.Reason) {
	status := x.resp.StatusCode()
	switch {
	case x.started:
		return verdict.Ran, verdict.ReasonUpstreamError
	case hasFlag(x.resp, enginehttp.HeaderNotStarted):
		return verdict.NotRun, verdict.ReasonUpstreamRefused
	case status == fasthttp.StatusConflict:
		return verdict.Ran, verdict.ReasonUpstreamError
	case status == fasthttp.StatusNotFound && x.resuming:
		return verdict.MayHaveRun, verdict.ReasonUnknownRequest
	default:
		return verdict.MayHaveRun, verdict.ReasonUpstreamError
	}
}

func retryAfter(resp *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(resp.Header.Peek(enginehttp.HeaderRetryAfter)))
	if err != nil || seconds < 0 || seconds > maxRetryAfterSeconds {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// maxRetryAfterSeconds bounds a Retry-After that is believed, in seconds.
const maxRetryAfterSeconds = 3600

// readBody reads the rest of an answer that is not streamed.
func (x *exchange) readBody(limit int) error {
	status := x.resp.StatusCode()
	if x.resp.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	if err := x.resp.ReadBody(x.conn.reader, limit); err != nil {
		return err
	}
	if x.resp.Header.ContentLength() != chunkedLength {
		return nil
	}
	return x.resp.Header.ReadTrailer(x.conn.reader)
}

// chunkedLength is the content length that fasthttp reports for a chunkedLength body.
const chunkedLength = -1
