package callers

import (
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"basilrudder/internal/answers"
	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/verdict"
)

// serveChat serves POST /v1/chat/completions.
func (s *Server) serveChat(ctx *fasthttp.RequestCtx) {
	arrived := s.cfg.Now()
	c, err := s.admit(ctx, inventory.ClassKindModel)
	if err != nil {
		s.refuseCall(ctx, &c, err)
		return
	}
	if c.home != "" {
		s.relay(ctx, c.id, c.home)
		return
	}
	parsed, err := parseChat(ctx.PostBody(), c.class)
	if err != nil {
		err.Verdict = s.earlyVerdict(c.customer, c.id)
		s.refuseCall(ctx, &c, err)
		return
	}
	f, err := s.submit(ctx, &Request{
		ID:           c.id,
		Customer:     c.customer,
		Class:        c.class,
		Body:         parsed.body,
		PromptTokens: parsed.promptTokens,
		MaxTokens:    parsed.maxTokens,
		Prefix:       parsed.prefix,
		Fingerprint:  fingerprint(ctx, c.class.Name),
		Arrived:      arrived,
	})
	switch {
	case err != nil:
	case parsed.stream:
		s.answerStream(ctx, f, 0)
	default:
		s.answerWhole(ctx, f)
	}
}

// serveService serves the paths under /v1/services/{service}/.
func (s *Server) serveService(ctx *fasthttp.RequestCtx) {
	arrived := s.cfg.Now()
	c, err := s.admit(ctx, inventory.ClassKindService)
	if err != nil {
		s.refuseCall(ctx, &c, err)
		return
	}
	if c.home != "" {
		s.relay(ctx, c.id, c.home)
		return
	}
	request, err := serviceRequest(ctx, c.class.Target)
	if err != nil {
		err.Verdict = s.earlyVerdict(c.customer, c.id)
		s.refuseCall(ctx, &c, err)
		return
	}
	body := append([]byte(nil), ctx.PostBody()...)
	f, err := s.submit(ctx, &Request{
		ID:          c.id,
		Customer:    c.customer,
		Class:       c.class,
		Body:        body,
		Service:     request,
		Fingerprint: fingerprint(ctx, c.class.Name),
		Arrived:     arrived,
	})
	if err == nil {
		s.answerWhole(ctx, f)
	}
}

// serviceRequest extracts the path within the service from the path of the call. It
// returns an error if the path names another service than target.
func serviceRequest(ctx *fasthttp.RequestCtx, target string) (*ServiceRequest, *verdict.Error) {
	uri := ctx.Request.URI()
	rest := string(uri.PathOriginal()[len(pathServices):])
	if len(rest) <= len(target) || rest[:len(target)] != target || rest[len(target)] != '/' {
		return nil, badRequest("the class is served by the service " + target + ", which is not the one in the path")
	}
	path := rest[len(target):]
	if query := uri.QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	return &ServiceRequest{
		Method:      string(ctx.Method()),
		Path:        path,
		ContentType: string(ctx.Request.Header.ContentType()),
	}, nil
}

// submit passes a request to the backend and follows its answer. If it returns an
// error, the refusal is already in the response.
func (s *Server) submit(ctx *fasthttp.RequestCtx, request *Request) (*follower, *verdict.Error) {
	log, id, err := s.backend.Submit(s.ctx, request)
	if err != nil {
		if id == "" {
			id = request.ID
		}
		s.refuse(ctx, id, err)
		return nil, err
	}
	about := answers.About{Created: s.cfg.WallClock().Unix(), PromptTokens: request.PromptTokens}
	if request.Service == nil {
		about.Model = request.Class.Target
	}
	log.Describe(about)
	return s.follow(ctx, request.Customer, id, log), nil
}

// fingerprint hashes the class, method, URI and body of a request.
func fingerprint(ctx *fasthttp.RequestCtx, class string) uint64 {
	h := xxhash.New()
	// Writes to a digest never fail.
	_, _ = h.WriteString(class)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(ctx.Method())
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(ctx.RequestURI())
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(ctx.PostBody())
	return h.Sum64()
}
