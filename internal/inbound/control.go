package inbound

import (
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

const (
	// ControlTimeout bounds reading a request of a control server and writing its answer.
	ControlTimeout = 10 * time.Second
	// controlIdleTimeout is how long a connection without a request is kept.
	controlIdleTimeout = 2 * time.Minute
	// maxControlBody is the largest body of a request in bytes; fasthttp takes 0 for its default of
	// 4 MiB, which it would read into memory on each connection.
	maxControlBody = 1
)

// ControlServer returns a server for requests without a body and with short answers: readiness,
// addresses, metrics, status. Its listener is to be one of conns.
func ControlServer(handler fasthttp.RequestHandler, conns *Conns, log *zap.Logger) *fasthttp.Server {
	server := &fasthttp.Server{
		Handler: closeAhead(handler), NoDefaultServerHeader: true, NoDefaultDate: true,
		MaxRequestBodySize: maxControlBody, DisablePreParseMultipartForm: true,
		ReadTimeout: ControlTimeout, WriteTimeout: ControlTimeout, IdleTimeout: controlIdleTimeout,
		ConnState: conns.FastStateChanged,
		Logger:    DebugLogger{Log: log},
	}
	FreeHeads(server)
	return server
}

// closeAhead returns a handler that closes the connections of clients who send too many requests ahead.
func closeAhead(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		handler(ctx)
		if SendsAhead(ctx.Conn()) {
			ctx.SetConnectionClose()
		}
	}
}

// DebugLogger writes fasthttp's messages, most of which are about malformed requests, to the log at
// debug level.
type DebugLogger struct{ Log *zap.Logger }

// Printf implements fasthttp.Logger.
func (l DebugLogger) Printf(format string, args ...any) { l.Log.Sugar().Debugf(format, args...) }
