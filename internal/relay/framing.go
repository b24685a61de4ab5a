package relay

import (
	"net/http"

	"go.uber.org/zap"

	"basilrudder/internal/eventlog"
	"basilrudder/internal/verdict"
)

// framing is how the end of an answer is marked (RFC 9112, section 6.3).
type framing string

const (
	// framingNone is that of answers that never have a body.
	framingNone    framing = "none"
	framingLength  framing = "length"
	framingChunked framing = "chunked"
	// framingClose means that the end of the connection ends the answer, so that a whole
	// answer and one that was cut off look alike.
	framingClose framing = "close"
)

// framingOf returns how a server marks the end of an answer.
func framingOf(resp *http.Response) framing {
	switch {
	case resp.Request.Method == http.MethodHead, !bodyAllowed(resp.StatusCode):
		return framingNone
	case len(resp.TransferEncoding) > 0:
		return framingChunked
	case resp.ContentLength >= 0:
		return framingLength
	default:
		return framingClose
	}
}

// received describes what has arrived of the last server's answer.
type received struct {
	framing framing
	bytes   int64
	// eventOpen means that an event of a stream has arrived in part.
	eventOpen bool
	// ended means that the answer has ended as its framing allows.
	ended bool
	// end is what an end without a mark was taken for; nil for none.
	end *unmarkedEnd
}

func (r received) fields() []zap.Field {
	if r.framing == "" {
		return nil
	}
	return append([]zap.Field{
		zap.String("framing", string(r.framing)),
		zap.Int64("body_bytes", r.bytes),
		zap.Bool("event_open", r.eventOpen),
		zap.String("server_end", string(r.serverEnd())),
	}, r.end.fields()...)
}

// answerEnd is how an answer ended, from a server or to a caller.
type answerEnd string

const (
	endMarked answerEnd = "marked"
	// endByClose is the ordinary close of the connection that ends an answer.
	endByClose answerEnd = "closed"
	endByReset answerEnd = "reset"
	// endCut is an end before the one that the framing marks.
	endCut answerEnd = "cut"
)

func (r received) serverEnd() answerEnd {
	switch {
	case !r.ended:
		return endCut
	case r.framing == framingClose:
		return endByClose
	default:
		return endMarked
	}
}

// callerEnd returns how the answer to the caller ended; empty if none of a server had begun.
func (f *forwarder) callerEnd() answerEnd {
	switch {
	case f.framing == "":
		return ""
	case f.aborted && f.framing == framingClose:
		return endByReset
	case f.aborted:
		return endCut
	case f.framing == framingClose:
		return endByClose
	default:
		return endMarked
	}
}

// sendHead sends the head of an answer once its framing is decided. Of an answer without a
// marked end a line is logged before its end, since a killed process logs none.
func (f *forwarder) sendHead(status int) {
	if f.framing == framingClose {
		f.relay.cfg.Metrics.unmarked.Add(unmarkedBegun, 1)
		f.relay.cfg.Log.Info("unmarked_answer_begun", zap.String("id", f.request.ID), zap.String("server", f.target.ID),
			zap.String("framing", string(f.received.framing)), zap.String("protocol", f.hr.Proto))
		_ = f.resetOnClose(true) // logged; the answer is of use to its caller all the same
	}
	f.w.WriteHeader(status)
}

// resetOnClose sets whether the end of the caller's connection is a reset. The kernel closes the
// sockets of a process that is killed, so that this has to be set while an answer is incomplete
// whose end is that of its connection.
func (f *forwarder) resetOnClose(reset bool) error {
	err := f.relay.cfg.ResetOnClose(f.hr.Context(), reset)
	if err != nil {
		f.relay.cfg.Log.Warn("caller_end_not_set", zap.String("id", f.request.ID), zap.Bool("reset", reset), eventlog.Cause(err))
	}
	return err
}

// endAnswer has the caller's connection end in order after a complete answer. All bytes have to
// be in the socket by then, since they are lost if the process is killed.
func (f *forwarder) endAnswer() *verdict.Error {
	if f.framing != framingClose {
		return nil
	}
	if err := http.NewResponseController(f.w).Flush(); err != nil {
		return f.callerGone(err)
	}
	if err := f.resetOnClose(false); err != nil {
		return f.callerGone(err)
	}
	return nil
}

// setFraming gives the caller's answer no clearer an end than the server's has: an answer
// that ends with the server's connection ends with the caller's.
func (f *forwarder) setFraming(server framing) {
	f.framing = framingChunked
	if server == framingClose {
		f.framing = framingClose
		// The value by which net/http sends a body without length and chunks.
		f.w.Header().Set("Transfer-Encoding", "identity")
	}
	if !f.hr.ProtoAtLeast(1, 1) {
		f.framing = framingClose
	}
	if server == framingNone {
		f.framing = framingNone
	}
}
