package upstream

import (
	"cmp"
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"basilrudder/internal/enginehttp"
	"basilrudder/internal/verdict"
)

// ServiceCall is a request to an application server.
type ServiceCall struct {
	// RequestID under which the server knows the call.
	RequestID string
	// Method, Path with query, ContentType and Body of the request.
	Method, Path, ContentType string
	Body                      []byte
	// Timeout for the whole answer; 0 for the configured one.
	Timeout time.Duration
}

// Header is one header of an answer.
type Header struct {
	Name, Value string
}

// ServiceAnswer is the answer of an application server, whatever its status.
type ServiceAnswer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// CallService makes one call to an application server and never repeats it.
// Any answer but one that says "not started" is the server's answer.
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
	// A server that answers so far has seen the call, even if the rest of the
	// answer is lost.
	x.started = x.resp.StatusCode() < fasthttp.StatusInternalServerError
	x.resp.SkipBody = call.Method == fasthttp.MethodHead
	if err := x.readBody(c.cfg.MaxAnswer); err != nil {
		return nil, x.fail(err, "read answer")
	}
	answer := x.serviceAnswer()
	x.finish()
	return answer, nil
}

// validRequestLine keeps a caller's path from adding lines to the request.
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

// hopByHopHeaders are the headers that belong to the connection, not to the answer.
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
