package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
	"basilrudder/internal/verdict"
)

const (
	// maxInlineBody is the size up to which a request is written in one piece before its
	// answer is read. Longer bodies are written concurrently with the reading, because a
	// server may answer early and read the rest later.
	maxInlineBody = 32 << 10
	// maxStrayAnswers is how many answers are read on one connection in search of the
	// right one, before the connection is given up. Without a bound, a server that keeps
	// sending answers could hold a request until its deadline.
	maxStrayAnswers = 3
	// maxAnswerHead bounds the status line and headers of an answer, in bytes. Without it,
	// an answer without end would be held in memory until the request's deadline.
	maxAnswerHead = 64 << 10
	// maxDiscardedBody bounds the body of an answer that is read only to use its connection
	// again, in bytes.
	maxDiscardedBody = 256 << 10
	// bodyWriteTimeout is how long the rest of a long request may take once its answer
	// was read completely. It bounds the wait for a server that stops reading.
	bodyWriteTimeout = 500 * time.Millisecond
)

// Errors of an exchange.
var (
	errStray        = errors.New("connection carries answers to other requests")
	errUnsigned     = errors.New("answer is unsigned, content-encoded or without a request id")
	errAmbiguous    = errors.New("server refused without a guarantee that the request was not run")
	errUnresponsive = errors.New("no bytes received from the server within the timeout")
	errTruncated    = errors.New("answer was truncated")
)

// exchange is one request and its answer on one connection.
type exchange struct {
	conn    *conn
	pool    *pool
	stop    func() bool // stops closing conn when the context ends
	written chan error  // result of writing a long request; nil for a short one
	sentAt  monotime.Instant
	answer  Answer
	resp    *http.Response
	done    bool
}

// send writes a request and returns the exchange. The verdict of an error is whether the
// request may have run: it can't have without its complete header.
func send(ctx context.Context, p *pool, c *conn, head, body []byte, deadline time.Time) (*exchange, *verdict.Error) {
	e := &exchange{conn: c, pool: p, sentAt: monotime.Now()}
	e.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := c.SetDeadline(deadline); err != nil {
		e.abandon()
		return nil, verdict.Wrap(verdict.NotRun, verdict.ReasonUpstreamLost, err)
	}
	if len(body) > maxInlineBody {
		e.written = make(chan error, 1)
		go func() {
			_, err := c.Write(head)
			if err == nil {
				_, err = c.Write(body)
			}
			e.written <- err
		}()
		return e, nil
	}
	n, err := c.Write(append(head[:len(head):len(head)], body...))
	if err == nil {
		return e, nil
	}
	e.abandon()
	if n < len(head) {
		return nil, verdict.Wrap(verdict.NotRun, verdict.ReasonUpstreamLost, err)
	}
	return nil, verdict.Wrap(verdict.MayHaveRun, verdict.ReasonUpstreamLost, err)
}

// requestHead encodes the request line and headers.
func requestHead(method, uri, host string, h http.Header, body []byte, hasBody bool) []byte {
	var out bytes.Buffer
	out.WriteString(method + " " + uri + " HTTP/1.1\r\nHost: " + host + "\r\n")
	if hasBody {
		out.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	// Writes to a bytes.Buffer never fail.
	_ = h.Write(&out)
	out.WriteString("\r\n")
	return out.Bytes()
}

// readHead reads the header of the answer to request id. timeout bounds the wait for it;
// 0 leaves it to the connection's deadline.
//
// A server may send a late second answer to an earlier request just before the next
// answer. The id in each answer tells them apart; answers with other ids are read and
// dropped.
func (e *exchange) readHead(method, id string, protocol Protocol, timeout time.Duration, deadline time.Time) error {
	if timeout > 0 {
		if err := e.conn.SetReadDeadline(earlier(time.Now().Add(timeout), deadline)); err != nil {
			return err
		}
	}
	req := &http.Request{Method: method}
	for range maxStrayAnswers {
		e.conn.limit.SetLimit(maxAnswerHead)
		resp, err := http.ReadResponse(e.conn.reader, req)
		err = e.conn.limit.EndLimit(err)
		if err != nil {
			if timeout > 0 && netconn.IsTimeout(err) {
				return errors.Join(errUnresponsive, err)
			}
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		answer := protocol.Answer(resp.StatusCode, resp.Header)
		if answer.ID != "" && answer.ID != id {
			if err := netconn.Discard(resp.Body, maxDiscardedBody); err != nil {
				return errors.Join(errStray, err)
			}
			continue
		}
		if e.written != nil && framingOf(resp) == framingClose {
			resp.Body = &earlyBody{resp.Body, e}
		}
		e.resp, e.answer = resp, answer
		if err := checkAnswer(resp, answer); err != nil {
			return err
		}
		return e.conn.SetReadDeadline(deadline)
	}
	return errStray
}

// checkAnswer returns an error for answers that must not reach a caller.
func checkAnswer(resp *http.Response, answer Answer) error {
	switch {
	case answer.NotRun:
		return nil
	case answer.ID == "", resp.Header.Get("Content-Encoding") != "":
		return errUnsigned
	case promisesNotRun(resp.StatusCode):
		return errAmbiguous
	case resp.StatusCode < http.StatusMultipleChoices && !answer.Signed:
		return errUnsigned
	default:
		return nil
	}
}

// promisesNotRun reports whether a status guarantees to callers that a request has not
// run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// finish returns the connection to the pool after the answer was read completely.
func (e *exchange) finish() {
	if e.done {
		return
	}
	if !e.requestWritten() || e.resp.Close || !e.stop() {
		e.abandon()
		return
	}
	e.done = true
	e.pool.putIdle(e.conn, e.resp.Header.Get("Keep-Alive"))
}

// requestWritten waits for the rest of a long request to be written. A connection on
// which part of it is missing can't be reused: the server would read the next request as
// that part.
func (e *exchange) requestWritten() bool {
	if e.written == nil {
		return true
	}
	if err := e.conn.SetWriteDeadline(time.Now().Add(bodyWriteTimeout)); err != nil {
		return false
	}
	return <-e.written == nil
}

// writeFailed stops writing a long request and reports whether the connection was lost before.
func (e *exchange) writeFailed() bool {
	if err := e.conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return true
	}
	err := <-e.written
	e.written <- err // for requestWritten
	return netconn.IsWriteLoss(err)
}

// earlyBody is the body of an answer that began before its request was written and ends with
// its connection. A socket reports a reset once. If the writer gets it, reading ends like an
// answer that is whole.
type earlyBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *earlyBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.exchange.writeFailed() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// abandon closes the connection; most servers then drop the request.
func (e *exchange) abandon() {
	if e.done {
		return
	}
	e.done = true
	e.stop()
	e.pool.discard(e.conn)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
