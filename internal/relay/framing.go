package relay

import (
	"net/http"

	"go.uber.org/zap"
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
}

func (r received) fields() []zap.Field {
	if r.framing == "" {
		return nil
	}
	return []zap.Field{
		zap.String("framing", string(r.framing)),
		zap.Int64("body_bytes", r.bytes),
		zap.Bool("event_open", r.eventOpen),
	}
}
