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
	"basilrudder/internal/netconn"
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
	// started is set once the upstream has confirmed that it started the request.
	started bool
	// resuming is set if the request itself was sent by an earlier exchange.
	resuming bool
	// stopWatching stops the watch on ctx; it returns false if ctx has already ended.
	stopWatching func() bool
}

// open starts an exchange on an unused or a new connection to the target. forceDial
// requires a new one.
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
	// If the caller disconnects, a blocked read must end at once and not at the next
	// timeout. Closing the connection ends it.
	x.stopWatching = context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	return x, nil
}

// connectError returns an error with the verdict "not run": without a connection no byte
// was written.
func connectError(ctx context.Context, target Target, err error) *verdict.Error {
	reason := verdict.ReasonConnect
	if ctx.Err() != nil {
		reason = contextReason(ctx)
	}
	return verdict.Wrap(verdict.NotRun, reason, errors.Wrapf(err, "connect to %s", target.Server))
}

// send writes the request and reads the header of the answer within timeout.
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

// maxHeaderBlocks limits the header blocks read per request: up to two informational (1xx)
// answers and the final one. With a smaller limit, upstreams that send informational
// answers fail; with a larger one, an upstream can send more of them before it fails.
const maxHeaderBlocks = 3

func (x *exchange) readHeader() error {
	for range maxHeaderBlocks {
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

// finish returns the connection to the pool after the whole answer was read.
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

// abort ends the exchange and closes the connection.
func (x *exchange) abort() {
	x.stopWatching()
	_ = x.conn.Close()
	x.counts.addBytes(x.conn)
	// The response is not released for reuse: its body stream may still refer to the
	// connection's reader.
}

// verdictOnFailure returns the verdict on the request if the connection fails now.
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

// fail ends the exchange after an error of the connection or of the answer's content and
// returns that error with its verdict. If the upstream was unresponsive, it also closes
// the unused connections to its address.
func (x *exchange) fail(err error, operation string) *verdict.Error {
	x.counts.errors.Add(1)
	reason := x.failureReason(err)
	if reason == verdict.ReasonUpstreamSilent {
		x.client.pool.closeAddress(x.target.Address)
	}
	x.abort()
	return verdict.Wrap(x.verdictOnFailure(), reason, errors.Wrapf(err, "%s: %s", x.target.Server, operation))
}

// failureReason returns the reason of a failure. The end of ctx takes precedence over err,
// because it closes the connection and so causes err.
func (x *exchange) failureReason(err error) verdict.Reason {
	if x.ctx.Err() != nil {
		return contextReason(x.ctx)
	}
	if netconn.IsTimeout(err) {
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

// failStatus ends the exchange and returns an unsuccessful answer as an error.
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

// classifyStatus returns the verdict and reason for an unsuccessful answer.
//
// Once bytes of a request were sent, only the upstream's statement (X-Not-Started) proves
// that it did not start the request. A status alone can have other causes and proves
// nothing.
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

// retryAfter returns the Retry-After of an answer, or 0 if it is missing or not accepted.
func retryAfter(resp *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(resp.Header.Peek(enginehttp.HeaderRetryAfter)))
	if err != nil || seconds < 0 || seconds > maxRetryAfterSeconds {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// maxRetryAfterSeconds is the largest accepted value of Retry-After in seconds. Larger
// values are ignored; without the limit, one wrong header could block retries for a very
// long time.
const maxRetryAfterSeconds = 3600

// hasBody reports whether the answer may have a body.
func (x *exchange) hasBody() bool {
	status := x.resp.StatusCode()
	return !x.resp.SkipBody && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// readBody reads the rest of an answer that is not streamed. limit is in bytes.
func (x *exchange) readBody(limit int) error {
	if !x.hasBody() {
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

// chunkedLength is the content length that fasthttp reports for a chunked body.
const chunkedLength = -1
