package callers

import (
	"bytes"
	"encoding/json"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"basilrudder/internal/catalog"
	"basilrudder/internal/inbound"
	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/verdict"
)

// Paths of the interface.
const (
	pathChat      = "/v1/chat/completions"
	pathDirectory = "/v1/directory"
	pathRequests  = "/v1/requests/"
	pathServices  = "/v1/services/"
	suffixAnswer  = "/answer"
)

// maxIDLength is the maximum length of a request id in bytes. Callers rely on it: a
// smaller value refuses ids in use. The message for an invalid id names it.
const maxIDLength = 200

// unauthenticatedBodyBytes is the maximum body size without an accepted credential. It
// bounds the memory that unauthenticated callers can occupy on each connection.
const unauthenticatedBodyBytes = 1 << 10

// connectionRetryAfter is the Retry-After of a refusal for too many connections. A
// shorter one makes the refused callers reconnect while connections are still scarce.
const connectionRetryAfter = time.Second

// notReadyRetryAfter is the Retry-After of an instance without a configuration. A longer
// one delays callers after the configuration has arrived.
const notReadyRetryAfter = time.Second

// call holds what is read from a request's header before it is submitted.
type call struct {
	customer *catalog.Customer
	class    *catalog.Class
	id       string
	// home is the address of the instance that the id is bound to; empty if the request is
	// served here.
	home string
	// unbound is set for an id that no instance minted.
	unbound bool
}

// handle checks the connection limit and the configuration and routes the request. It
// recovers from a panic, which would otherwise end the process and every other request
// in it.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	defer func() {
		if cause := recover(); cause != nil {
			s.cfg.Log.Error("panic in a caller's request", zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
			s.refuse(ctx, "", verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "internal error"))
			ctx.SetConnectionClose()
		}
	}()
	c, ok := ctx.Conn().(*conn)
	if counted := inbound.Of(ctx.Conn()); ok && c.overLimit || counted != nil && counted.Refusable() {
		s.refuseConnection(ctx)
		return
	}
	if err := s.readBody(ctx); err != nil {
		s.refuseBody(ctx, err)
		return
	}
	defer func() {
		if inbound.SendsAhead(ctx.Conn()) {
			ctx.SetConnectionClose()
		}
	}()
	if s.backend.Catalog() == nil {
		s.refuseNotReady(ctx)
		return
	}
	s.route(ctx)
}

// refuseNotReady refuses a request while the instance has no configuration: a process
// that starts while the platform is down and its peers are unreachable cannot
// authenticate callers. They may have its address from the directory.
func (s *Server) refuseNotReady(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	err := verdict.New(s.earlyVerdict(nil, id), verdict.ReasonNotReady, "this instance has no configuration yet")
	s.refuse(ctx, "", err.After(notReadyRetryAfter))
}

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	path := ctx.Request.URI().PathOriginal()
	switch {
	case string(path) == pathChat:
		s.requireMethod(ctx, fasthttp.MethodPost, s.serveChat)
	case string(path) == pathDirectory:
		s.requireMethod(ctx, fasthttp.MethodGet, s.serveDirectory)
	case bytes.HasPrefix(path, []byte(pathServices)):
		s.serveService(ctx)
	case bytes.HasPrefix(path, []byte(pathRequests)):
		s.requireMethod(ctx, fasthttp.MethodGet, s.serveRequest)
	default:
		s.refuse(ctx, "", verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "no such path"))
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) requireMethod(ctx *fasthttp.RequestCtx, method string, handler func(*fasthttp.RequestCtx)) {
	if string(ctx.Method()) == method {
		handler(ctx)
		return
	}
	s.refuse(ctx, "", verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "this path takes "+method))
	ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	ctx.Response.Header.Set(fasthttp.HeaderAllow, method)
}

func (s *Server) refuseConnection(ctx *fasthttp.RequestCtx) {
	s.counts.connectionsRefused.Add(1)
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	err := verdict.New(s.earlyVerdict(nil, id), verdict.ReasonOverloaded, "too many connections to this instance")
	s.refuse(ctx, id, err.After(connectionRetryAfter))
	ctx.SetConnectionClose()
}

func (s *Server) serveDirectory(ctx *fasthttp.RequestCtx) {
	customer := s.authenticate(&ctx.Request.Header)
	if customer == nil {
		s.refuse(ctx, "", unauthorizedError(verdict.NotRun))
		return
	}
	directory := s.backend.Directory(customer)
	body, err := json.Marshal(directory)
	if err != nil {
		s.refuse(ctx, "", verdict.Wrap(verdict.NotRun, verdict.ReasonInternal, err))
		return
	}
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "private, max-age="+strconv.Itoa(directory.TTLS))
	ctx.SetBody(body)
}

func unauthorizedError(v verdict.Verdict) *verdict.Error {
	return verdict.New(v, verdict.ReasonUnauthorized, "the Authorization header holds no accepted bearer credential")
}

// authenticate returns the customer of the bearer credential, or nil. It must handle a
// missing configuration: it is called for each header received, before any other check
// and outside the recover of handle.
func (s *Server) authenticate(header *fasthttp.RequestHeader) *catalog.Customer {
	const scheme = "Bearer "
	value := header.Peek(fasthttp.HeaderAuthorization)
	if len(value) <= len(scheme) || !bytes.EqualFold(value[:len(scheme)], []byte(scheme)) {
		return nil
	}
	cat := s.backend.Catalog()
	if cat == nil {
		return nil
	}
	return cat.Authenticate(string(value[len(scheme):]))
}

// limitBody limits the body's size before it is read. Without it, unauthenticated
// callers could make the instance hold a body of the full size on each connection.
func (s *Server) limitBody(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if s.authenticate(header) == nil {
		return fasthttp.RequestConfig{MaxRequestBodySize: min(unauthenticatedBodyBytes, s.cfg.BodyBytes)}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: s.cfg.BodyBytes}
}

// admit checks the id, credential and class in a request's header and locates the
// instance that the id is bound to.
func (s *Server) admit(ctx *fasthttp.RequestCtx, kind inventory.ClassKind) (call, *verdict.Error) {
	var c call
	if repeated := repeatedHeader(ctx); repeated != "" {
		return c, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the header "+repeated+" is given twice")
	}
	c.id = string(ctx.Request.Header.Peek(HeaderRequestID))
	if !validID(c.id) {
		c.id = ""
		return c, verdict.New(verdict.NotRun, verdict.ReasonBadRequest,
			HeaderRequestID+" may hold at most 200 letters, digits and . _ : -")
	}
	c.customer = s.authenticate(&ctx.Request.Header)
	if c.customer == nil {
		return c, unauthorizedError(s.earlyVerdict(nil, c.id))
	}
	if err := s.checkClass(ctx, &c, kind); err != nil {
		err.Verdict = s.earlyVerdict(c.customer, c.id)
		return c, err
	}
	return c, s.locate(ctx, &c)
}

// repeatedHeader returns the name of a header field that is repeated and must not be, or
// "". Two programs might each use a different one of its values.
func repeatedHeader(ctx *fasthttp.RequestCtx) string {
	for _, name := range []string{fasthttp.HeaderAuthorization, HeaderRequestID, HeaderClass} {
		if len(ctx.Request.Header.PeekAll(name)) > 1 {
			return name
		}
	}
	return ""
}

func validID(id string) bool {
	if len(id) > maxIDLength {
		return false
	}
	for i := range len(id) {
		b := id[i]
		letter := 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
		digit := '0' <= b && b <= '9'
		if !letter && !digit && b != '.' && b != '_' && b != ':' && b != '-' {
			return false
		}
	}
	return true
}

func (s *Server) checkClass(ctx *fasthttp.RequestCtx, c *call, kind inventory.ClassKind) *verdict.Error {
	name := string(ctx.Request.Header.Peek(HeaderClass))
	if name == "" {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the header "+HeaderClass+" is missing")
	}
	c.class = s.backend.Catalog().Classes[name]
	if c.class == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownClass, "no request class "+strconv.Quote(name))
	}
	if !c.customer.MayUse(c.class) {
		return verdict.New(verdict.NotRun, verdict.ReasonForbidden, "this customer may not use the class "+strconv.Quote(name))
	}
	if c.class.Kind != kind {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the class "+strconv.Quote(name)+" is not served on this path")
	}
	return nil
}

// locate sets c.home if the id is bound to another instance.
func (s *Server) locate(ctx *fasthttp.RequestCtx, c *call) *verdict.Error {
	if c.id == "" {
		return nil
	}
	address, local, err := s.backend.Home(c.id)
	switch {
	case err != nil && err.Reason == verdict.ReasonUnboundKey:
		c.unbound = true
		return unboundKeyError(c.class)
	case err != nil:
		return err
	case local:
		return nil
	case len(ctx.Request.Header.Peek(HeaderRelayed)) > 0:
		return relayLoopError()
	default:
		c.home = address
		return nil
	}
}

// unboundKeyError returns the refusal of a request whose class is not idempotent and
// whose id is not bound to an instance, else nil. Any instance might run such an id, and
// after a partition or a crash no instance could determine whether another one did.
func unboundKeyError(class *catalog.Class) *verdict.Error {
	if class == nil || class.Idempotent {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonUnboundKey,
		"this class is not idempotent and the id is not bound to an instance: "+
			"leave out "+HeaderRequestID+", or make it of an id_prefix from "+pathDirectory+" and a nonce of your own")
}

// earlyVerdict returns the verdict of a refusal that is sent before the instance that
// the id is bound to was queried: an earlier attempt under the id may have run there.
func (s *Server) earlyVerdict(customer *catalog.Customer, id string) verdict.Verdict {
	if id == "" {
		return verdict.NotRun
	}
	_, local, err := s.backend.Home(id)
	if err != nil && err.Reason == verdict.ReasonUnboundKey {
		return verdict.NotRun
	}
	if err == nil && local && customer != nil {
		if _, found := s.backend.Find(customer.Name, id); !found {
			return verdict.NotRun
		}
	}
	return verdict.MayHaveRun
}
