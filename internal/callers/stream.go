package callers

import (
	"context"
	"io"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"basilrudder/internal/answers"
	"basilrudder/internal/catalog"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/verdict"
)

// errTruncated ends the connection of a stream that failed, without the last chunk
// of the transfer encoding.
var errTruncated = errors.New("answer failed after its stream began")

// maxBuffered bounds what a stream encodes before it writes, in bytes.
const maxBuffered = 32 << 10

// follower is one caller's connection to one answer.
type follower struct {
	server   *Server
	customer *catalog.Customer
	id       string
	log      *answers.Log
	conn     *conn // nil in tests that serve without the listener
	ctx      context.Context
	cancel   context.CancelCauseFunc
	detached bool
}

var errCallerGone = errors.New("the caller closed its connection")

// follow attaches the connection to an answer. Either detach or deliver must be
// called in the end.
func (s *Server) follow(ctx *fasthttp.RequestCtx, customer *catalog.Customer, id string, log *answers.Log) *follower {
	f := &follower{server: s, customer: customer, id: id, log: log}
	f.ctx, f.cancel = context.WithCancelCause(s.ctx)
	log.Attach()
	if c, ok := ctx.Conn().(*conn); ok {
		f.conn = c
		c.watch(func() { f.cancel(errCallerGone) })
	}
	return f
}

// callerGone reports whether the caller closed or lost the connection.
func (f *follower) callerGone() bool {
	return errors.Is(context.Cause(f.ctx), errCallerGone)
}

// stoppingError is the error of an answer that outlasts the instance's shutdown.
func stoppingError() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonDraining, "the instance stops before the answer has ended")
}

// unwatch ends the background read; nothing may be read or answered before.
func (f *follower) unwatch() {
	if f.conn != nil {
		f.conn.unwatch()
	}
}

// detach ends the following before the whole answer was written.
func (f *follower) detach() {
	f.end(false)
}

// deliver ends the following when the answer has been handed to the server, and
// tells the backend once it was written.
func (f *follower) deliver() {
	if f.conn == nil {
		f.end(true)
		return
	}
	f.conn.onDelivery(f.end)
}

func (f *follower) end(complete bool) {
	if f.detached {
		return
	}
	f.detached = true
	f.cancel(nil)
	remaining := f.log.Detach()
	if complete {
		f.server.backend.Delivered(f.customer, f.id)
		return
	}
	if f.server.ctx.Err() != nil && !f.callerGone() {
		// It is the instance that ends; it settles what it holds itself.
		return
	}
	f.server.counts.callersGone.Add(1)
	// Another connection may follow the same answer: its caller retried.
	if remaining == 0 {
		f.server.backend.CallerGone(f.customer, f.id)
	}
}

// sseBody is the body of a streamed answer. The server reads it and writes each
// read as one chunk.
type sseBody struct {
	follower     *follower
	encoder      chunkEncoder
	offset       int
	events       []engineapi.TokenEvent // not encoded yet
	buffer       []byte
	consumed     int // bytes of buffer that were read
	answerEnded  bool
	err          *verdict.Error
	fullyEncoded bool // the last bytes are in buffer
}

// Read implements io.Reader.
func (b *sseBody) Read(p []byte) (int, error) {
	for b.consumed == len(b.buffer) {
		if b.fullyEncoded {
			return 0, b.readError()
		}
		b.fill()
	}
	n := copy(p, b.buffer[b.consumed:])
	b.consumed += n
	return n, nil
}

// Close implements io.Closer. The server calls it after the last Read or a
// failed write.
func (b *sseBody) Close() error {
	f := b.follower
	f.unwatch()
	if b.fullyEncoded && b.answerEnded && b.consumed == len(b.buffer) {
		f.deliver()
	} else {
		f.detach()
	}
	return nil
}

func (b *sseBody) readError() error {
	if b.err != nil {
		return errTruncated
	}
	return io.EOF
}

// fill encodes what has come, or waits for more.
func (b *sseBody) fill() {
	b.buffer = b.buffer[:0]
	b.consumed = 0
	if len(b.events) == 0 && !b.answerEnded {
		b.events, b.answerEnded, b.err = b.follower.log.Next(b.follower.ctx, b.offset)
		b.offset += len(b.events)
		if b.err != nil && !b.answerEnded {
			b.interrupt()
			return
		}
	}
	for len(b.events) > 0 && len(b.buffer) < maxBuffered {
		b.buffer = b.encoder.appendChunk(b.buffer, &b.events[0])
		b.events = b.events[1:]
	}
	if len(b.events) == 0 && b.answerEnded {
		b.appendEnd()
	}
}

// interrupt ends a stream whose answer goes on. A caller that is gone gets
// nothing more; to one that is there, the instance says that it stops.
func (b *sseBody) interrupt() {
	if b.follower.callerGone() {
		b.fullyEncoded = true
		return
	}
	b.err = stoppingError()
	b.appendEnd()
}

// appendEnd appends the last event: [DONE] for a whole answer, else the refusal.
func (b *sseBody) appendEnd() {
	b.fullyEncoded = true
	if b.err == nil {
		b.buffer = append(b.buffer, "data: [DONE]\n\n"...)
		return
	}
	b.buffer = append(b.buffer, "event: error\ndata: "...)
	b.buffer = append(b.buffer, refusalJSON(b.follower.id, b.err)...)
	b.buffer = append(b.buffer, "\n\n"...)
}
