package daemon

import (
	"context"
	"sync"

	"basilrudder/internal/accounting"
	"basilrudder/internal/answers"
	"basilrudder/internal/callers"
	"basilrudder/internal/monotime"
	"basilrudder/internal/node"
	record "basilrudder/internal/schema/accounting"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/upstream"
	"basilrudder/internal/verdict"
)

// activeRequest is a request of this instance with what a node does not need to know.
type activeRequest struct {
	request *callers.Request
	log     *answers.Log
	key     answers.Key

	// cancel stops the running attempt; nil before the first.
	cancel context.CancelCauseFunc
}

// dispatcher carries out what the node decides: it runs attempts at upstreams
// and relays their tokens into the answers' logs.
type dispatcher struct {
	ctx         context.Context
	node        *node.Node
	clients     *upstream.Client
	answerStore *answers.Store
	records     *accounting.Writer
	send        func(to string, env *wire.Envelope)

	mu       sync.Mutex
	active   map[string]*activeRequest
	attempts sync.WaitGroup
}

// register puts a request down before the node may start it, and reports whether its
// id was free.
func (d *dispatcher) register(h *activeRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active[h.key.ID] != nil {
		return false
	}
	d.active[h.key.ID] = h
	return true
}

func (d *dispatcher) unregister(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.active, id)
}

// Send implements node.Effects.
func (d *dispatcher) Send(to string, env *wire.Envelope) {
	d.send(to, env)
}

// Record implements node.Effects.
func (d *dispatcher) Record(rec record.Record) {
	d.records.Write(rec)
}

// Start implements node.Effects.
func (d *dispatcher) Start(attempt node.Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.active[attempt.RequestID]
	if h == nil {
		return
	}
	ctx, cancel := context.WithCancelCause(d.ctx)
	h.cancel = cancel
	d.attempts.Go(func() {
		defer cancel(nil)
		err := d.run(ctx, attempt, h)
		d.node.AttemptEnded(monotime.Now(), attempt.Seq, attempt.Number, err)
	})
}

// errCancelled is the cause of a cancelled attempt.
var errCancelled = verdict.New(verdict.MayHaveRun, verdict.ReasonCallerGone, "cancelled because the caller left")

// CancelAttempt implements node.Effects.
func (d *dispatcher) CancelAttempt(requestID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.active[requestID]; h != nil && h.cancel != nil {
		h.cancel(errCancelled)
	}
}

// Finish implements node.Effects.
func (d *dispatcher) Finish(requestID string, err *verdict.Error) {
	d.mu.Lock()
	h := d.active[requestID]
	delete(d.active, requestID)
	d.mu.Unlock()
	if h == nil {
		return
	}
	h.log.Close(err)
	if err != nil && err.Verdict == verdict.NotRun {
		d.answerStore.Abandon(h.key)
		return
	}
	d.answerStore.Finish(monotime.Now(), h.key)
}

// run makes one attempt and returns how it ended.
func (d *dispatcher) run(ctx context.Context, attempt node.Attempt, h *activeRequest) *verdict.Error {
	target := targetOf(attempt.Engine)
	if attempt.Engine.Server.Spec.Kind == inventory.ServerKindApplication {
		return d.callService(ctx, target, attempt, h)
	}
	sink := &answerSink{log: h.log, progress: attempt.Progress}
	var err *verdict.Error
	if attempt.Resume {
		err = d.clients.Resume(ctx, target, attempt.ID, attempt.Offset, sink)
	} else {
		call := upstream.GenerateRequest{RequestID: attempt.ID, Priority: attempt.Priority, Body: h.request.Body}
		err = d.clients.Generate(ctx, target, call, sink)
	}
	if ctx.Err() != nil {
		d.cancelAtEngine(target, attempt.ID)
	}
	return d.withDrainingReason(err)
}

// withDrainingReason names the end of the process as the reason of an attempt that it ended.
func (d *dispatcher) withDrainingReason(err *verdict.Error) *verdict.Error {
	if err == nil || d.ctx.Err() == nil {
		return err
	}
	out := *err
	out.Reason = verdict.ReasonDraining
	return &out
}

// cancelAtEngine tells the engine to stop: closing the connection alone leaves
// it generating for the time in which a resumption may come.
func (d *dispatcher) cancelAtEngine(target upstream.Target, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), cancelTimeout)
	defer cancel()
	_ = d.clients.Cancel(ctx, target, id)
}

func (d *dispatcher) callService(ctx context.Context, target upstream.Target, attempt node.Attempt, h *activeRequest) *verdict.Error {
	service := h.request.Service
	answer, err := d.clients.CallService(ctx, target, upstream.ServiceCall{
		RequestID:   attempt.ID,
		Method:      service.Method,
		Path:        service.Path,
		ContentType: service.ContentType,
		Body:        h.request.Body,
	})
	if err != nil {
		return d.withDrainingReason(err)
	}
	attempt.Progress.Token(monotime.Now())
	out := answers.ServiceAnswer{Status: answer.Status, Body: answer.Body}
	for _, header := range answer.Headers {
		out.Headers = append(out.Headers, answers.Header{Name: header.Name, Value: header.Value})
	}
	if setErr := h.log.SetService(out); setErr != nil {
		return verdict.Wrap(verdict.Ran, verdict.ReasonTooLarge, setErr)
	}
	return nil
}

// answerSink copies tokens from an upstream into an answer.
type answerSink struct {
	log      *answers.Log
	progress *node.Progress
}

// Token implements upstream.Sink.
func (r *answerSink) Token(event engineapi.TokenEvent) error {
	if event.Offset < r.log.Len() {
		return nil
	}
	if err := r.log.Append(event); err != nil {
		return err
	}
	r.progress.Token(monotime.Now())
	return nil
}
