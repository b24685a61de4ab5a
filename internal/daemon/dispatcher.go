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

// activeRequest holds the parts of an unfinished request that the node does not need.
type activeRequest struct {
	request *callers.Request
	log     *answers.Log
	key     answers.Key

	// cancel cancels the running attempt; nil before the first attempt.
	cancel context.CancelCauseFunc
}

// dispatcher implements node.Effects. It runs attempts at upstreams and copies their tokens
// to the logs of the answers.
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

// register adds a request before the node may start it. It returns false if the id is in
// use.
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

// errCancelled is the cancellation cause of an attempt whose caller disconnected.
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
		d.answerStore.Remove(h.key)
		return
	}
	d.answerStore.Finish(monotime.Now(), h.key)
}

// run executes one attempt and returns its error, or nil if it completed.
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

// withDrainingReason sets the reason of a failed attempt to draining if the daemon is
// stopping, since that ended the attempt.
func (d *dispatcher) withDrainingReason(err *verdict.Error) *verdict.Error {
	if err == nil || d.ctx.Err() == nil {
		return err
	}
	out := *err
	out.Reason = verdict.ReasonDraining
	return &out
}

// cancelAtEngine cancels the run at the engine. Closing the connection is not sufficient:
// the engine would continue to generate while a resumption is still possible.
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
	attempt.Progress.RecordToken(monotime.Now())
	out := answers.ServiceAnswer{Status: answer.Status, Body: answer.Body}
	for _, header := range answer.Headers {
		out.Headers = append(out.Headers, answers.Header{Name: header.Name, Value: header.Value})
	}
	if setErr := h.log.SetService(out); setErr != nil {
		return verdict.Wrap(verdict.Ran, verdict.ReasonTooLarge, setErr)
	}
	return nil
}

// answerSink appends the tokens of an upstream to the log of an answer. Tokens that the log
// already has, which a resumption may repeat, are skipped.
type answerSink struct {
	log      *answers.Log
	progress *node.Progress
}

// Token implements upstream.Sink.
func (s *answerSink) Token(event engineapi.TokenEvent) error {
	if event.Offset < s.log.Len() {
		return nil
	}
	if err := s.log.Append(event); err != nil {
		return err
	}
	s.progress.RecordToken(monotime.Now())
	return nil
}
