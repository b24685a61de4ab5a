package replay

import (
	"errors"
	"sort"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/node"
	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/standin/enginemodel"
	"basilrudder/internal/verdict"
)

const (
	// silentAfter is how long a stream may be silent before its connection is
	// given up, firstSilentAfter before its first token.
	silentAfter      = 2 * time.Second
	firstSilentAfter = 30 * time.Second
	silenceCheck     = 500 * time.Millisecond
	// serviceStepMS lets a modelled engine stand for a plain service: a token is
	// a millisecond of work.
	serviceStepMS  = 1
	tinySlowdown   = 1e-9
	cacheEventLoss = 0.1
	// engineConcurrency is what engines take before they refuse: the running ones
	// and those in the own queue of an engine. Common engines take that or more.
	engineConcurrency = 128
)

// upstream is a modelled engine with its open streams.
type upstream struct {
	sim        *sim
	spec       *catalog.Engine
	dataCentre string
	service    bool
	model      *enginemodel.Engine
	streams    map[uint64]*stream
	refs       map[string]uint64
	nextRef    uint64
	wakeAt     monotime.Instant
}

// stream is the connection of one attempt.
type stream struct {
	process *process
	call    *call
	attempt node.Attempt
	up      *upstream
	ref     uint64
	last    monotime.Instant
	tokens  int
	closed  bool
}

func (s *sim) makeEngines() {
	for id := range s.cat.Engines {
		s.engineIDs = append(s.engineIDs, id)
	}
	sort.Strings(s.engineIDs)
	for _, id := range s.engineIDs {
		spec := s.cat.Engines[id]
		up := &upstream{
			sim:        s,
			spec:       spec,
			dataCentre: spec.Server.Spec.DataCentre,
			service:    spec.Server.Spec.Kind == inventory.ServerKindApplication,
			streams:    make(map[uint64]*stream),
			refs:       make(map[string]uint64),
		}
		up.model = enginemodel.New(modelConfig(spec), s.rng.Uint64())
		s.engines[id] = up
	}
	s.loop.After(silenceCheck, s.checkSilence)
}

func modelConfig(spec *catalog.Engine) enginemodel.Config {
	cfg := enginemodel.Config{
		Name:              spec.Spec.Name,
		Slots:             spec.Spec.Slots,
		StepMS:            spec.Spec.StepMS,
		PrefillTokensPerS: spec.Spec.PrefillTokensPerS,
		CacheEventLoss:    cacheEventLoss,
		MaxWaiting:        max(engineConcurrency-spec.Spec.Slots, 1),
	}
	if spec.Server.Spec.Kind == inventory.ServerKindApplication {
		cfg.StepMS = serviceStepMS
		cfg.BatchSlowdown = tinySlowdown
	}
	return cfg
}

// begin sends an attempt to the engine.
func (u *upstream) begin(st *stream) {
	now := u.sim.loop.Now()
	st.last = now
	if u.model.Down() {
		u.reply(st, connectError(st.attempt.Resume))
		return
	}
	if st.attempt.Resume {
		u.resume(st, now)
		return
	}
	request := st.call.request
	u.nextRef++
	err := u.model.Submit(now, enginemodel.Job{
		ID:           st.attempt.ID,
		Ref:          u.nextRef,
		Priority:     st.attempt.Priority,
		PromptTokens: request.PromptTokens,
		OutputTokens: request.OutputTokens,
		Prefix:       request.Prefix,
	})
	if err != nil {
		u.reply(st, refusalError(err))
		return
	}
	u.sim.watch.accepted(u.sim, u)
	st.ref = u.nextRef
	u.refs[st.attempt.ID] = st.ref
	u.attach(st)
}

func (u *upstream) attach(st *stream) {
	u.streams[st.ref] = st
	st.call.stream = st
	u.schedule()
}

func (u *upstream) resume(st *stream, now monotime.Instant) {
	tokens, err := u.model.Attach(now, st.attempt.ID, st.attempt.Offset, nil)
	if err != nil {
		u.reply(st, verdict.New(verdict.Ran, verdict.ReasonUpstreamError, err.Error()))
		return
	}
	st.ref = u.refs[st.attempt.ID]
	st.tokens = st.attempt.Offset
	u.attach(st)
	for _, token := range tokens {
		st.token(token)
	}
}

func connectError(resume bool) *verdict.Error {
	v := verdict.NotRun
	if resume {
		v = verdict.Ran
	}
	return verdict.New(v, verdict.ReasonConnect, "connection refused")
}

func refusalError(err error) *verdict.Error {
	if errors.Is(err, enginemodel.Duplicate) {
		return verdict.New(verdict.Ran, verdict.ReasonUpstreamError, err.Error())
	}
	return verdict.New(verdict.NotRun, verdict.ReasonUpstreamRefused, err.Error())
}

// reply ends an attempt at its process.
func (u *upstream) reply(st *stream, err *verdict.Error) {
	st.close()
	p, a := st.process, st.attempt
	p.deliver(u.sim.wireTo(p, u), func(now monotime.Instant) { p.node.AttemptEnded(now, a.Seq, a.Number, err) })
}

func (st *stream) close() {
	st.closed = true
	if st.up.streams[st.ref] == st {
		delete(st.up.streams, st.ref)
	}
}

// schedule wakes the engine when its next step ends.
func (u *upstream) schedule() {
	next, ok := u.model.NextEvent(u.sim.loop.Now())
	if !ok || u.wakeAt > u.sim.loop.Now() && u.wakeAt <= next {
		return
	}
	u.wakeAt = next
	u.sim.loop.At(next, func() { u.wake(next) })
}

func (u *upstream) wake(planned monotime.Instant) {
	if u.wakeAt != planned {
		return
	}
	u.wakeAt = 0
	for _, token := range u.model.Advance(u.sim.loop.Now()) {
		if st := u.streams[token.Ref]; st != nil {
			st.token(token)
		}
	}
	u.schedule()
}

func (st *stream) token(token enginemodel.Token) {
	now := st.up.sim.loop.Now()
	st.last = now
	st.tokens++
	delay := st.up.sim.wireTo(st.process, st.up)
	st.call.token(st, token.Offset, now.Add(delay))
	if token.Done {
		st.up.reply(st, nil)
	}
}

func (st *stream) cancel() {
	if st.closed {
		return
	}
	st.up.model.Cancel(st.up.sim.loop.Now(), st.attempt.ID)
	st.up.reply(st, verdict.New(verdict.Ran, verdict.ReasonCallerGone, "cancelled for the caller"))
}

// crash breaks every connection of the engine.
func (u *upstream) crash() {
	u.model.Crash(u.sim.loop.Now())
	for _, st := range u.sorted() {
		u.reply(st, verdict.New(verdict.Ran, verdict.ReasonUpstreamLost, "connection reset"))
	}
}

func (u *upstream) sorted() []*stream {
	out := make([]*stream, 0, len(u.streams))
	for _, st := range u.streams {
		out = append(out, st)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ref < out[j].ref })
	return out
}

// dropProcess loses the connections of a process that died.
func (u *upstream) dropProcess(p *process) {
	for _, st := range u.sorted() {
		if st.process == p {
			st.close()
			u.model.Detach(u.sim.loop.Now(), st.attempt.ID)
		}
	}
}

// checkSilence gives up connections that carried nothing for too long.
func (s *sim) checkSilence() {
	for _, id := range s.engineIDs {
		u := s.engines[id]
		for _, st := range u.sorted() {
			limit := firstSilentAfter
			if st.tokens > 0 && !u.service {
				limit = silentAfter
			}
			if s.loop.Now().Sub(st.last) > limit {
				u.model.Detach(s.loop.Now(), st.attempt.ID)
				u.reply(st, verdict.New(verdict.Ran, verdict.ReasonUpstreamSilent, "no token in time"))
			}
		}
	}
	s.loop.After(silenceCheck, s.checkSilence)
}
