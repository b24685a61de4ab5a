package callers

import (
	"io"

	"github.com/valyala/fasthttp"

	"basilrudder/internal/inbound"
	"basilrudder/internal/membudget"
)

// readBody reads the whole body of a request, of which the HTTP server has read the head. The error is
// membudget.ErrNone if there is no memory for it, or it was given up for others.
func (s *Server) readBody(ctx *fasthttp.RequestCtx) error {
	conn := inbound.Of(ctx.Conn())
	if conn != nil {
		conn.Handle()
	}
	if stream := ctx.RequestBodyStream(); stream != nil {
		body, err := s.readStream(ctx, conn, stream)
		if err != nil {
			return err
		}
		ctx.Request.SetBodyRaw(body)
	}
	if conn != nil && !conn.Received() {
		return membudget.ErrNone
	}
	return nil
}

func (s *Server) readStream(ctx *fasthttp.RequestCtx, conn *inbound.Conn, stream io.Reader) ([]byte, error) {
	var holder membudget.Holder = uncounted{}
	if conn != nil {
		holder = conn
	}
	limit := int64(s.limitBody(&ctx.Request.Header).MaxRequestBodySize)
	declared := max(-1, int64(ctx.Request.Header.ContentLength()))
	if declared > limit {
		return nil, fasthttp.ErrBodyTooLarge
	}
	body, err := membudget.ReadAll(holder, io.LimitReader(stream, limit+1), declared)
	switch {
	case conn != nil && conn.Shed():
		return nil, membudget.ErrNone
	case err != nil:
		return nil, err
	case int64(len(body)) > limit:
		return nil, fasthttp.ErrBodyTooLarge
	}
	return body, nil
}

// uncounted is the Holder of requests whose connection is not counted.
type uncounted struct{}

// Hold implements membudget.Holder.
func (uncounted) Hold(int64) bool { return true }

// Release implements membudget.Holder.
func (uncounted) Release(int64) {}
