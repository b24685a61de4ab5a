package engine

import (
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/standin/enginemodel"
	"basilrudder/internal/timer"
)

// FinishStop is the finish reason of a complete answer.
const FinishStop = "stop"

// Engine is one engine of a Server.
type Engine struct {
	name string
	// servesAny is true if no models were configured: the engine then serves every model.
	servesAny bool
	wake      chan struct{}

	mu      sync.Mutex
	changed *sync.Cond // uses mu; broadcast after changes to runs
	model   *enginemodel.Engine
	holding *enginemodel.Holding
	streams map[string]*stream
}

// stream is a connection that receives the tokens of a run.
type stream struct {
	id     string
	conn   net.Conn
	wake   chan struct{}
	gone   chan struct{}       // closed by dropStream
	tokens []enginemodel.Token // guarded by Engine.mu
	silent bool                // guarded by Engine.mu
}

func newEngine(cfg EngineConfig, server Config, seed uint64) *Engine {
	e := &Engine{
		name:      cfg.Model.Name,
		servesAny: len(cfg.Models) == 0,
		wake:      make(chan struct{}, 1),
		model:     enginemodel.New(cfg.Model, seed),
		holding:   enginemodel.NewHolding(server.ChecksFencing, server.Store, cfg.Models, cfg.Role),
		streams:   make(map[string]*stream),
	}
	e.changed = sync.NewCond(&e.mu)
	return e
}

// drive advances the model in real time until stop is closed.
func (e *Engine) drive(stop <-chan struct{}) {
	next := timer.NewStopped()
	defer next.Stop()
	for {
		next.Reset(e.advance())
		select {
		case <-next.C:
		case <-e.wake:
		case <-stop:
			return
		}
	}
}

// idleWait is how long an idle engine sleeps. Submitted requests wake it earlier.
const idleWait = time.Hour

// advance passes generated tokens to their streams and returns the time until the next event.
func (e *Engine) advance() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.changed.Broadcast()
	now := monotime.Now()
	for _, token := range e.model.Advance(now) {
		if s := e.streams[token.ID]; s != nil {
			s.tokens = append(s.tokens, token)
			notify(s.wake)
		}
	}
	next, ok := e.model.NextEvent(now)
	if !ok {
		return idleWait
	}
	return max(next.Sub(now), 0)
}

func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

func (e *Engine) submit(job enginemodel.Job, model string, conn net.Conn) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := monotime.Now()
	if e.holding.Withdrawn() || !e.servesAny && !e.holding.Holds(now, model) {
		return nil, enginemodel.Refusing
	}
	if err := e.model.Submit(now, job); err != nil {
		return nil, err
	}
	return e.openStream(job.ID, conn, nil), nil
}

func (e *Engine) attach(id string, offset int, conn net.Conn) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens, err := e.model.Attach(monotime.Now(), id, offset, nil)
	if err != nil {
		return nil, err
	}
	return e.openStream(id, conn, tokens), nil
}

// openStream makes conn the receiver of a run's tokens and drops an earlier stream of the
// run. The caller holds mu.
func (e *Engine) openStream(id string, conn net.Conn, tokens []enginemodel.Token) *stream {
	if old := e.streams[id]; old != nil {
		e.dropStream(old)
	}
	s := &stream{
		id:     id,
		conn:   conn,
		wake:   make(chan struct{}, 1),
		gone:   make(chan struct{}),
		tokens: tokens,
	}
	if len(tokens) > 0 {
		notify(s.wake)
	}
	e.streams[id] = s
	notify(e.wake)
	return s
}

// dropStream ends a stream. It closes the connection first: otherwise the handler could end
// the response properly, and the truncated answer would look complete. The caller holds mu.
func (e *Engine) dropStream(s *stream) {
	_ = s.conn.Close()
	close(s.gone)
	delete(e.streams, s.id)
}

// takeTokens moves the pending tokens of a stream into buf. Those of a silenced stream are
// discarded.
func (e *Engine) takeTokens(s *stream, buf []enginemodel.Token) []enginemodel.Token {
	e.mu.Lock()
	defer e.mu.Unlock()
	buf = buf[:0]
	if !s.silent {
		buf = append(buf, s.tokens...)
	}
	s.tokens = s.tokens[:0]
	return buf
}

func (e *Engine) isSilent(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.silent
}

// streamEnded removes a stream whose connection ended. Unless its answer was complete, the
// run is detached.
func (e *Engine) streamEnded(s *stream, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] != s {
		return
	}
	delete(e.streams, s.id)
	if !whole {
		e.model.Detach(monotime.Now(), s.id)
	}
}

// Runs returns the record of every request that the engine accepted.
func (e *Engine) Runs() []enginemodel.Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.model.Runs())
}

// WaitForRun blocks until a run satisfies the condition and returns the first such run.
func (e *Engine) WaitForRun(want func(enginemodel.Run) bool) enginemodel.Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		runs := e.model.Runs()
		if at := slices.IndexFunc(runs, want); at >= 0 {
			return runs[at]
		}
		e.changed.Wait()
	}
}

// Counts returns the actual counts of the engine.
func (e *Engine) Counts() enginemodel.Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Counts()
}

// Holds returns the report of the models and role that the engine holds.
func (e *Engine) Holds() engineapi.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holding.Report(monotime.Now())
}

// Crash drops every run, model and connection of the engine. The engine refuses requests
// until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.changed.Broadcast()
	e.model.Crash(monotime.Now())
	e.holding.Restart()
	for _, s := range e.streams {
		e.dropStream(s)
	}
}

// Restart restarts a crashed engine, without its models and request ids.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Restart()
}

// SetSlowdown makes the engine slower by the factor (a straggler); 1 is its normal speed.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.SetSlowdown(factor)
}

// SetRefusing sets whether the engine refuses new requests.
func (e *Engine) SetRefusing(refusing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.SetRefusing(refusing)
}

// SetStalled stops the engine in the middle of a step, or resumes it.
func (e *Engine) SetStalled(stalled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.SetStalled(monotime.Now(), stalled)
	notify(e.wake)
}

// SilenceStream stops all data on the connection of one request. The run continues and
// can be resumed over a new connection.
func (e *Engine) SilenceStream(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.SilenceOne(monotime.Now(), id)
	if s := e.streams[id]; s != nil {
		s.silent = true
	}
}

// SilenceStreams silences every open stream as SilenceStream does.
func (e *Engine) SilenceStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Silence(monotime.Now())
	for _, s := range e.streams {
		s.silent = true
	}
}

// TokenText returns the text of the token at offset in the answer to a request. Receivers
// compare it to check that they got their own answer, complete and in order.
func TokenText(requestID string, offset int) string {
	return string(appendText(nil, textTag(requestID), offset))
}

func textTag(requestID string) string {
	return strconv.FormatUint(xxhash.Sum64String(requestID)&0xffff, 16)
}

func appendText(buf []byte, tag string, offset int) []byte {
	buf = append(buf, tag...)
	buf = append(buf, '.')
	buf = strconv.AppendInt(buf, int64(offset), 10)
	return append(buf, ' ')
}
