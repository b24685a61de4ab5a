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

// errTruncated makes the server close the connection of a failed stream without the last
// chunk of the transfer encoding.
var errTruncated = errors.New("answer failed after its stream began")

// maxBuffered is the size in bytes at which a stream stops encoding and writes. A larger
// value takes more memory per stream, a smaller one takes more writes.
const maxBuffered = 32 << 10

// streamEnd is the last event of a whole answer.
const streamEnd = "data: [DONE]\n\n"

// follower attaches one caller's connection to one answer.
type follower struct {
	server   *Server
	customer *catalog.Customer
	id       string
	log      *answers.Log
	conn     *conn // nil in tests that serve without listener
	ctx      context.Context
	cancel   context.CancelCauseFunc
	detached bool
}

var errCallerGone = errors.New("the caller closed its connection")

// follow attaches the connection to an answer. Either detach or deliver must be called
// in the end.
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

// stoppingError returns the refusal of an answer that has not ended when the instance
// stops.
func stoppingError() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonDraining, "the instance stops before the answer has ended")
}

// unwatch ends the background read. It must be called before the connection is read or
// answered.
func (f *follower) unwatch() {
	if f.conn != nil {
		f.conn.unwatch()
	}
}

// detach ends the attachment before the whole answer was written.
func (f *follower) detach() {
	f.end(false)
}

// deliver is called when the HTTP server has the whole answer. Once the answer has been
// written, it ends the attachment and reports the delivery to the backend.
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
		// The instance is stopping and finishes its requests itself.
		return
	}
	f.server.counts.callersGone.Add(1)
	// A caller that retried may follow the same answer on another connection.
	if remaining == 0 {
		f.server.backend.CallerGone(f.customer, f.id)
	}
}

// sseBody is the body of a streamed answer. The HTTP server writes the result of each
// Read as one chunk.
type sseBody struct {
	follower     *follower
	encoder      chunkEncoder
	offset       int
	events       []engineapi.TokenEvent // not encoded yet
	buffer       []byte
	consumed     int // bytes of buffer that Read has returned
	answerEnded  bool
	err          *verdict.Error
	fullyEncoded bool // buffer holds the last bytes
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

// Close implements io.Closer. The HTTP server calls it after the last Read or after a
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

// fill encodes the pending events, or waits for more if there are none.
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

// interrupt ends a stream before its answer has ended. A caller that is still connected
// receives the refusal of a stopping instance.
func (b *sseBody) interrupt() {
	if b.follower.callerGone() {
		b.fullyEncoded = true
		return
	}
	b.err = stoppingError()
	b.appendEnd()
}

// appendEnd appends the last event: streamEnd for a whole answer, otherwise the refusal.
func (b *sseBody) appendEnd() {
	b.fullyEncoded = true
	if b.err == nil {
		b.buffer = append(b.buffer, streamEnd...)
		return
	}
	b.buffer = append(b.buffer, "event: error\ndata: "...)
	b.buffer = append(b.buffer, refusalJSON(b.follower.id, b.err)...)
	b.buffer = append(b.buffer, "\n\n"...)
}
