package inbound

import (
	"bytes"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"basilrudder/internal/netconn"
)

const (
	// headByteCost and headFieldCost are the bytes of memory that a parsed head takes for each of
	// its bytes and, beyond that, for each field.
	headByteCost  = 2
	headFieldCost = 96
	// keptHeadCost is the cost up to which an idle connection may keep what its last head took.
	keptHeadCost = 8 << 10
)

// headCost returns the bytes of memory that a parsed head takes, or a part of one.
func headCost(p []byte) int64 {
	return int64(headByteCost*len(p) + headFieldCost*bytes.Count(p, []byte{'\n'}))
}

// argumentsCost returns the bytes of memory that the parsed arguments of a request's target take.
func argumentsCost(target []byte) int64 {
	return int64(headByteCost*len(target) + headFieldCost*bytes.Count(target, []byte{'&'}))
}

// FreeHeads has a server free what a large head took as soon as its request was served or refused.
// fasthttp would keep it for later requests and connections, for which it isn't counted.
func FreeHeads(server *fasthttp.Server) {
	serve, refuse := server.Handler, server.ErrorHandler
	if refuse == nil {
		refuse = refuseUnreadable
	}
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		serve(ctx)
		if headCost(ctx.Request.Header.RawHeaders())+argumentsCost(ctx.RequestURI()) > keptHeadCost {
			*ctx.Request.URI() = fasthttp.URI{}
			ctx.Request.Header = fasthttp.RequestHeader{}
		}
	}
	server.ErrorHandler = func(ctx *fasthttp.RequestCtx, err error) {
		refuse(ctx, err)
		ctx.Request.Header = fasthttp.RequestHeader{} // how much of it was parsed is not known
	}
}

// refuseUnreadable answers a request that could not be read.
func refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	var headTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &headTooLarge):
		ctx.Error("request head too large", fasthttp.StatusRequestHeaderFieldsTooLarge)
	case netconn.IsTimeout(err):
		ctx.Error("request timeout", fasthttp.StatusRequestTimeout)
	default:
		ctx.Error("bad request", fasthttp.StatusBadRequest)
	}
}
