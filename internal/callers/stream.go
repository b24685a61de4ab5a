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

// errCut ends the connection of a stream that failed, without the last chunk
// of the transfer encoding.
var errCut = errors.New("answer failed after its stream began")

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

// stopping is the error of an answer that outlasts the instance's shutdown.
func stopping() *verdict.Error {
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

func (f *follower) end(whole bool) {
	if f.detached {
		return
	}
	f.detached = true
	f.cancel(nil)
	left := f.log.Detach()
	if whole {
		f.server.backend.Delivered(f.customer, f.id)
		return
	}
	if f.server.ctx.Err() != nil && !f.callerGone() {
		// It is the instance that ends; it settles what it holds itself.
		return
	}
	f.server.counts.callersGone.Add(1)
	// Another connection may follow the same answer: its caller retried.
	if left == 0 {
		f.server.backend.CallerGone(f.customer, f.id)
	}
}

// sseBody is the body of a streamed answer. The server reads it and writes each
// read as one chunk.
type sseBody struct {
	follower *follower
	encoder  chunkEncoder
	offset   int
	events   []engineapi.TokenEvent // not encoded yet
	buffer   []byte
	written  int // bytes of buffer that were read
	done     bool
	err      *verdict.Error
	ended    bool // the last bytes are in buffer
}

// Read implements io.Reader.
func (b *sseBody) Read(p []byte) (int, error) {
	for b.written == len(b.buffer) {
		if b.ended {
			return 0, b.end()
		}
		b.fill()
	}
	n := copy(p, b.buffer[b.written:])
	b.written += n
	return n, nil
}

// Close implements io.Closer. The server calls it after the last Read or a
// failed write.
func (b *sseBody) Close() error {
	f := b.follower
	f.unwatch()
	if b.ended && b.done && b.written == len(b.buffer) {
		f.deliver()
	} else {
		f.detach()
	}
	return nil
}

func (b *sseBody) end() error {
	if b.err != nil {
		return errCut
	}
	return io.EOF
}

// fill encodes what has come, or waits for more.
func (b *sseBody) fill() {
	b.buffer = b.buffer[:0]
	b.written = 0
	if len(b.events) == 0 && !b.done {
		b.events, b.done, b.err = b.follower.log.Next(b.follower.ctx, b.offset)
		b.offset += len(b.events)
		if b.err != nil && !b.done {
			b.interrupt()
			return
		}
	}
	for len(b.events) > 0 && len(b.buffer) < maxBuffered {
		b.buffer = b.encoder.appendChunk(b.buffer, &b.events[0])
		b.events = b.events[1:]
	}
	if len(b.events) == 0 && b.done {
		b.finish()
	}
}

// interrupt ends a stream whose answer goes on. A caller that is gone gets
// nothing more; to one that is there, the instance says that it stops.
func (b *sseBody) interrupt() {
	if b.follower.callerGone() {
		b.ended = true
		return
	}
	b.err = stopping()
	b.finish()
}

// finish appends the last event: [DONE] for a whole answer, else the refusal.
func (b *sseBody) finish() {
	b.ended = true
	if b.err == nil {
		b.buffer = append(b.buffer, "data: [DONE]\n\n"...)
		return
	}
	b.buffer = append(b.buffer, "event: error\ndata: "...)
	b.buffer = append(b.buffer, refusalJSON(b.follower.id, b.err)...)
	b.buffer = append(b.buffer, "\n\n"...)
}
