package upstream

import (
	"cmp"
	"context"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"basilrudder/internal/enginehttp"
	"basilrudder/internal/verdict"
)

// ServiceCall is a request to an application server.
type ServiceCall struct {
	// RequestID is the ID under which the server records the call.
	RequestID string
	// Method, Path (with query), ContentType and Body are those of the request.
	Method, Path, ContentType string
	Body                      []byte
	// Timeout limits the time until the whole answer is read; 0 means
	// Config.ServiceTimeout.
	Timeout time.Duration
}

// Header is one header of an answer.
type Header struct {
	Name, Value string
}

// ServiceAnswer is the answer of an application server, with any status.
type ServiceAnswer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// CallService makes one call to an application server and never repeats it. Every
// complete answer is returned whatever its status, except one with X-Not-Started, which
// is an error.
func (c *Client) CallService(ctx context.Context, target Target, call ServiceCall) (*ServiceAnswer, *verdict.Error) {
	if !validRequestLine(call.Method, call.Path) {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "method or path is not valid")
	}
	timeout := call.Timeout
	timeout = cmp.Or(timeout, c.cfg.ServiceTimeout)
	req := newRequest(target, call.Method, call.Path)
	defer fasthttp.ReleaseRequest(req)
	req.Header.Set(enginehttp.HeaderRequestID, call.RequestID)
	if call.ContentType != "" {
		req.Header.SetContentType(call.ContentType)
	}
	req.SetBodyRaw(call.Body)
	x, err := c.open(ctx, target, KindService, false)
	if err != nil {
		return nil, err
	}
	if err := x.send(req, timeout); err != nil {
		return nil, err
	}
	if hasFlag(x.resp, enginehttp.HeaderNotStarted) {
		return nil, x.failStatus()
	}
	// An answer with a status below 500 shows that the server has handled the call,
	// even if the rest of the answer is lost.
	x.started = x.resp.StatusCode() < fasthttp.StatusInternalServerError
	x.resp.SkipBody = call.Method == fasthttp.MethodHead
	if x.hasBody() && x.resp.Header.ContentLength() == unmarkedLength {
		return nil, x.fail(errUnmarkedEnd, "read answer")
	}
	if err := x.readBody(c.cfg.MaxAnswer); err != nil {
		return nil, x.fail(err, "read answer")
	}
	answer := x.serviceAnswer()
	x.finish()
	return answer, nil
}

// unmarkedLength is the content length that fasthttp reports for a body that ends with its
// connection.
const unmarkedLength = -2

// errUnmarkedEnd is that of an answer with neither a length nor chunks: one that was cut
// off looks like a whole one.
var errUnmarkedEnd = errors.Wrap(io.ErrUnexpectedEOF, "the end of the answer is not marked")

// validRequestLine reports whether the method and path can be written to a request line.
// A path with spaces or control characters could add headers to the request.
func validRequestLine(method, path string) bool {
	visible := func(r rune) bool { return r > ' ' && r < 0x7f }
	invisible := func(r rune) bool { return !visible(r) }
	notUpper := func(r rune) bool { return r < 'A' || r > 'Z' }
	return method != "" && strings.IndexFunc(method, notUpper) < 0 &&
		strings.HasPrefix(path, "/") && strings.IndexFunc(path, invisible) < 0
}

func (x *exchange) serviceAnswer() *ServiceAnswer {
	answer := &ServiceAnswer{
		Status: x.resp.StatusCode(),
		Body:   append([]byte(nil), x.resp.Body()...),
	}
	for name, value := range x.resp.Header.All() {
		if !hopByHopHeaders[string(name)] {
			answer.Headers = append(answer.Headers, Header{Name: string(name), Value: string(value)})
		}
	}
	return answer
}

// hopByHopHeaders are the headers that belong to the connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	fasthttp.HeaderConnection:       true,
	fasthttp.HeaderContentLength:    true,
	fasthttp.HeaderDate:             true,
	fasthttp.HeaderKeepAlive:        true,
	fasthttp.HeaderServer:           true,
	fasthttp.HeaderTransferEncoding: true,
	fasthttp.HeaderTrailer:          true,
	fasthttp.HeaderUpgrade:          true,
}
