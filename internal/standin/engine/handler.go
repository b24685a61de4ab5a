package engine

import (
	"bufio"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"basilrudder/internal/enginehttp"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/standin/enginemodel"
	"basilrudder/internal/timer"
)

const (
	defaultOutputTokens = 64
	bytesPerToken       = 4
)

// generateBody holds the fields of a chat-completions request that the stand-in uses.
type generateBody struct {
	Model        string `json:"model"`
	MaxTokens    int    `json:"max_tokens"`
	Prefix       string `json:"prefix"`
	PromptTokens int    `json:"prompt_tokens"`
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	e := s.engines[string(ctx.Request.Header.Peek(enginehttp.HeaderEngine))]
	if e == nil {
		refuse(ctx, fasthttp.StatusNotFound, "no such engine")
		return
	}
	path, method := string(ctx.Path()), string(ctx.Method())
	switch {
	case path == enginehttp.PathGenerate && method == fasthttp.MethodPost:
		s.generate(ctx, e)
	case strings.HasPrefix(path, enginehttp.PathStreams) && method == fasthttp.MethodGet:
		s.resume(ctx, e, streamID(path))
	case strings.HasPrefix(path, enginehttp.PathStreams) && method == fasthttp.MethodDelete:
		e.cancel(ctx, streamID(path))
	case path == enginehttp.PathLoad:
		writeJSON(ctx, e.load())
	case path == enginehttp.PathCacheEvents:
		writeJSON(ctx, e.cacheEvents(ctx.QueryArgs().GetUintOrZero(enginehttp.QueryAfter)))
	case path == enginehttp.PathOrders && method == fasthttp.MethodGet:
		writeJSON(ctx, e.Holds())
	case path == enginehttp.PathOrders && method == fasthttp.MethodPost:
		e.order(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func streamID(path string) string {
	id, err := url.PathUnescape(strings.TrimPrefix(path, enginehttp.PathStreams))
	if err != nil {
		return ""
	}
	return id
}

func (s *Server) generate(ctx *fasthttp.RequestCtx, e *Engine) {
	job, model, err := parseJob(ctx)
	if err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	st, err := e.submit(job, model, ctx.Conn())
	var refusal enginemodel.Refusal
	switch {
	case err == nil:
		s.startStream(ctx, e, st)
	case errors.As(err, &refusal) && refusal == enginemodel.Duplicate:
		// The request ran or is running, so the response must not carry HeaderNotStarted.
		ctx.SetStatusCode(fasthttp.StatusConflict)
		ctx.SetBodyString(err.Error())
	case refusal == enginemodel.Full:
		refuse(ctx, fasthttp.StatusTooManyRequests, err.Error())
	default:
		refuse(ctx, fasthttp.StatusServiceUnavailable, err.Error())
	}
}

func parseJob(ctx *fasthttp.RequestCtx) (enginemodel.Job, string, error) {
	var body generateBody
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		return enginemodel.Job{}, "", err
	}
	job := enginemodel.Job{
		ID:           string(ctx.Request.Header.Peek(enginehttp.HeaderRequestID)),
		PromptTokens: body.PromptTokens,
		OutputTokens: body.MaxTokens,
	}
	if job.ID == "" {
		return job, "", errors.New("no request id")
	}
	job.Priority, _ = strconv.Atoi(string(ctx.Request.Header.Peek(enginehttp.HeaderPriority)))
	if job.PromptTokens == 0 {
		job.PromptTokens = len(ctx.PostBody()) / bytesPerToken
	}
	if job.OutputTokens == 0 {
		job.OutputTokens = defaultOutputTokens
	}
	if body.Prefix != "" {
		job.Prefix = PrefixKey(body.Prefix)
	}
	return job, body.Model, nil
}

// PrefixKey returns the key that identifies a prefix in cache events.
func PrefixKey(prefix string) uint64 {
	return xxhash.Sum64String(prefix)
}

func (s *Server) resume(ctx *fasthttp.RequestCtx, e *Engine, id string) {
	st, err := e.attach(id, ctx.QueryArgs().GetUintOrZero(enginehttp.QueryOffset), ctx.Conn())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		ctx.SetBodyString(err.Error())
		return
	}
	s.startStream(ctx, e, st)
}

// startStream sends the tokens of a stream to the caller as they are generated.
func (s *Server) startStream(ctx *fasthttp.RequestCtx, e *Engine, st *stream) {
	ctx.Response.Header.Set(enginehttp.HeaderStarted, enginehttp.True)
	ctx.SetContentType(enginehttp.TypeEventStream)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.writeStream(w, e, st) })
}

// heartbeatComment is the event-stream comment that keeps an idle stream alive.
const heartbeatComment = ":\n\n"

func (s *Server) writeStream(w *bufio.Writer, e *Engine, st *stream) {
	writer := eventWriter{w: w, tag: textTag(st.id)}
	err := writer.comment()
	var tokens []enginemodel.Token
	heartbeat := newHeartbeat(s.cfg.Heartbeat)
	defer heartbeat.Stop()
	for err == nil && !writer.done {
		select {
		case <-st.wake:
			tokens = e.takeTokens(st, tokens)
			err = writer.tokens(tokens)
		case <-heartbeat.C:
			if !e.isSilent(st) {
				err = writer.comment()
			}
		case <-st.gone:
			return
		case <-s.Stopped():
			return
		}
	}
	e.streamEnded(st, writer.done)
}

// newHeartbeat returns a ticker for the interval; it never fires if that is not positive.
func newHeartbeat(every time.Duration) *timer.Ticker {
	if every > 0 {
		return timer.NewTicker(every)
	}
	ticker := timer.NewTicker(time.Hour)
	ticker.Stop()
	return ticker
}

type eventWriter struct {
	w    *bufio.Writer
	tag  string
	buf  []byte
	done bool
}

func (w *eventWriter) comment() error {
	if _, err := w.w.WriteString(heartbeatComment); err != nil {
		return err
	}
	return w.w.Flush()
}

func (w *eventWriter) tokens(tokens []enginemodel.Token) error {
	if len(tokens) == 0 {
		return nil
	}
	w.buf = w.buf[:0]
	for _, token := range tokens {
		w.buf = appendEvent(w.buf, w.tag, token.Offset, token.Done)
		w.done = w.done || token.Done
	}
	if _, err := w.w.Write(w.buf); err != nil {
		return err
	}
	return w.w.Flush()
}

// appendEvent appends a TokenEvent in event-stream form. Token texts need no JSON escapes.
func appendEvent(buf []byte, tag string, offset int, done bool) []byte {
	buf = append(buf, "id: "...)
	buf = strconv.AppendInt(buf, int64(offset), 10)
	buf = append(buf, "\ndata: {\"offset\":"...)
	buf = strconv.AppendInt(buf, int64(offset), 10)
	buf = append(buf, `,"text":"`...)
	buf = appendText(buf, tag, offset)
	buf = append(buf, '"')
	if done {
		buf = append(buf, `,"finish":"`+FinishStop+`"`...)
	}
	return append(buf, "}\n\n"...)
}

func (e *Engine) cancel(ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.changed.Broadcast()
	if !e.model.Cancel(monotime.Now(), id) {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if st := e.streams[id]; st != nil {
		e.dropStream(st)
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (e *Engine) load() engineapi.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Load(monotime.Now())
}

func (e *Engine) cacheEvents(after int) engineapi.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.CacheEvents(monotime.Now(), after)
}

func (e *Engine) order(ctx *fasthttp.RequestCtx) {
	var order engineapi.Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	result := e.holding.Order(monotime.Now(), order)
	e.mu.Unlock()
	if !result.Accepted {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	writeJSON(ctx, result)
}

// refuse responds with an error that states that the request was not started.
func refuse(ctx *fasthttp.RequestCtx, status int, message string) {
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(enginehttp.HeaderNotStarted, enginehttp.True)
	ctx.Response.Header.Set(enginehttp.HeaderRetryAfter, "1")
	ctx.SetBodyString(message)
}

func writeJSON(ctx *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(enginehttp.TypeJSON)
	ctx.SetBody(data)
}
