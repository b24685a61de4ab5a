package upstream

import (
	"context"
	"io"
	"net/url"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"basilrudder/internal/enginehttp"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/verdict"
)

// GenerateRequest is a request to a model engine.
type GenerateRequest struct {
	// RequestID must be unique: the engine refuses an ID that it has already accepted.
	RequestID string
	// Priority is the priority in the engine; 0 is the highest.
	Priority int
	// Body is the request as JSON.
	Body []byte
}

// Sink receives the tokens of an answer in order, each exactly once. An error from Token
// ends the stream; it means that the receiver accepts no more tokens.
type Sink interface {
	Token(engineapi.TokenEvent) error
}

var eventReaders = sync.Pool{New: func() any { return newEventReader() }}

// Generate sends the request and passes each token to the sink. It returns nil once the
// sink has received the last token. It never sends a request twice.
func (c *Client) Generate(ctx context.Context, target Target, g GenerateRequest, sink Sink) *verdict.Error {
	req := newRequest(target, fasthttp.MethodPost, enginehttp.PathGenerate)
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetContentType(enginehttp.TypeJSON)
	req.Header.Set(enginehttp.HeaderEngine, target.Engine)
	req.Header.Set(enginehttp.HeaderRequestID, g.RequestID)
	req.Header.Set(enginehttp.HeaderPriority, strconv.Itoa(g.Priority))
	req.SetBodyRaw(g.Body)
	x, err := c.open(ctx, target, KindGenerate, false)
	if err != nil {
		return err
	}
	return x.streamAnswer(req, 0, sink)
}

// Resume continues the answer of a request that was sent to the target earlier, starting
// with the token at offset. It always opens a new connection, because a resumption
// follows the failure of an old one. Its errors never have the verdict "not run": the
// verdict is on the request, not on the attempt to resume.
func (c *Client) Resume(ctx context.Context, target Target, requestID string, offset int, sink Sink) *verdict.Error {
	path := enginehttp.PathStreams + url.PathEscape(requestID) +
		"?" + enginehttp.QueryOffset + "=" + strconv.Itoa(offset)
	req := newRequest(target, fasthttp.MethodGet, path)
	defer fasthttp.ReleaseRequest(req)
	req.Header.Set(enginehttp.HeaderEngine, target.Engine)
	x, err := c.open(ctx, target, KindResume, true)
	if err == nil {
		x.resuming = true
		err = x.streamAnswer(req, offset, sink)
	}
	if err != nil {
		err.Verdict = verdict.Worst(err.Verdict, verdict.MayHaveRun)
	}
	return err
}

// streamAnswer sends the request and passes the events of the answer to the sink.
func (x *exchange) streamAnswer(req *fasthttp.Request, offset int, sink Sink) *verdict.Error {
	if err := x.send(req, x.client.cfg.FirstByteTimeout); err != nil {
		return err
	}
	if x.resp.StatusCode() != fasthttp.StatusOK {
		return x.failStatus()
	}
	x.conn.setReadTimeout(x.client.cfg.FirstTokenTimeout)
	x.resp.StreamBody = true
	if err := x.resp.ReadBody(x.conn.reader, 0); err != nil {
		return x.fail(err, "read answer")
	}
	events := eventReaders.Get().(*eventReader)
	events.reset(x.resp.BodyStream())
	if err := x.relayEvents(events, offset, sink); err != nil {
		// The reader is not returned to the pool: its decoder keeps the error.
		return err
	}
	x.endStream(events)
	return nil
}

// errTokenOrder is returned if the engine skipped a token.
var errTokenOrder = errors.New("token out of order")

// relayEvents passes events to the sink, up to and including the last one.
func (x *exchange) relayEvents(events *eventReader, offset int, sink Sink) *verdict.Error {
	var event engineapi.TokenEvent
	for {
		ok, err := events.next(&event)
		if err != nil {
			return x.fail(err, "read token")
		}
		x.conn.setReadTimeout(x.client.cfg.TokenGapTimeout)
		if !ok {
			continue
		}
		x.started = true
		if event.Offset > offset {
			return x.fail(errors.Wrapf(errTokenOrder, "got %d, want %d", event.Offset, offset), "read token")
		}
		// A resumed stream may begin before the requested offset. Tokens that the sink
		// has already received are skipped.
		if event.Offset < offset {
			continue
		}
		if err := sink.Token(event); err != nil {
			x.abort()
			return verdict.Wrap(verdict.Ran, verdict.ReasonCallerGone, err)
		}
		if event.Finish != "" {
			return nil
		}
		offset++
	}
}

// endStream reads the end of the body to make the connection reusable. An error here does
// not matter, since the answer is already complete.
func (x *exchange) endStream(events *eventReader) {
	x.conn.setReadTimeout(bodyEndTimeout)
	if _, err := events.lines.Discard(1); !errors.Is(err, io.EOF) {
		x.abort()
		return
	}
	events.reset(nil)
	eventReaders.Put(events)
	_ = x.resp.CloseBodyStream()
	x.finish()
}
