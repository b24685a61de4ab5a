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
	// maxInlineBody is the size up to which a request is written in one piece
	// before its answer is read. Longer ones are written beside the reading,
	// because a server may answer early and read the rest later.
	maxInlineBody = 32 << 10
	// maxStrayAnswers is how many answers to other requests are skipped on one
	// connection before it is given up.
	maxStrayAnswers = 3
	// bodyWriteTimeout is how long the rest of a long request may take once its answer
	// was read to the end.
	bodyWriteTimeout = 500 * time.Millisecond
)

// Errors of an exchange.
var (
	errStray        = errors.New("answers on the connection belong to other requests")
	errUnsigned     = errors.New("answer is not the server's")
	errAmbiguous    = errors.New("server refused without saying that the request was not run")
	errUnresponsive = errors.New("server was silent")
	errTruncated    = errors.New("answer ended before its end")
)

// exchange is one request on one connection.
type exchange struct {
	conn    *conn
	pool    *pool
	stop    func() bool // ends the watch over the caller's context
	written chan error  // result of writing a long request, nil for a short one
	sentAt  monotime.Instant
	answer  Answer
	resp    *http.Response
	done    bool
}

// send writes a request and returns the exchange. A failure tells by its
// verdict whether the request may have run: without its whole header it can't.
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
	// A bytes.Buffer takes every write.
	_ = h.Write(&out)
	out.WriteString("\r\n")
	return out.Bytes()
}

// readHead reads the header of the answer to request id. silence bounds the
// wait for it; 0 leaves it to the connection's deadline.
//
// A server may send a second answer to an earlier request late, just where the
// next answer is due. The id in each answer tells them apart: those of others
// are read and dropped.
func (e *exchange) readHead(method, id string, protocol Protocol, timeout time.Duration, deadline time.Time) error {
	if timeout > 0 {
		if err := e.conn.SetReadDeadline(earlier(time.Now().Add(timeout), deadline)); err != nil {
			return err
		}
	}
	req := &http.Request{Method: method}
	for range maxStrayAnswers {
		resp, err := http.ReadResponse(e.conn.reader, req)
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
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return errors.Join(errStray, err)
			}
			continue
		}
		e.resp, e.answer = resp, answer
		if err := checkAnswer(resp, answer); err != nil {
			return err
		}
		return e.conn.SetReadDeadline(deadline)
	}
	return errStray
}

// checkAnswer refuses answers that must not reach a caller.
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

// promisesNotRun reports whether a status tells callers that a request has not
// run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// finish keeps the connection after an answer that was read to its end.
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

// requestWritten waits for the rest of a long request. A connection on which
// part of it is missing can't be used again: the next request would be read as
// its rest.
func (e *exchange) requestWritten() bool {
	if e.written == nil {
		return true
	}
	if err := e.conn.SetWriteDeadline(time.Now().Add(bodyWriteTimeout)); err != nil {
		return false
	}
	return <-e.written == nil
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
