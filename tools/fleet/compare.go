package main

import (
	"fmt"
	"strings"

	"basilrudder/internal/schema/callerapi"
	"basilrudder/internal/standin/engine"
)

// runs holds what the stand-ins started, by request id.
type runs map[string][]startedRun

// startedRun is one execution.
type startedRun struct {
	attempt string // id as the upstream saw it
	server  string
}

// runs collects what every stand-in started.
func (s *standins) runs() runs {
	out := make(runs)
	add := func(attempt, server string) {
		id := requestID(attempt)
		out[id] = append(out[id], startedRun{attempt: attempt, server: server})
	}
	for i := range s.inventory.Servers {
		spec := &s.inventory.Servers[i]
		if app := s.apps[spec.Name]; app != nil {
			for _, run := range app.Runs() {
				add(run.RequestID, spec.Name)
			}
			continue
		}
		for _, e := range spec.Engines {
			for _, run := range s.engines[spec.Name].Engine(e.Name).Runs() {
				add(run.ID, spec.Name)
			}
		}
	}
	return out
}

// requestID takes the number of the attempt off.
func requestID(attempt string) string {
	return attempt[:max(strings.LastIndexByte(attempt, '.'), 0)]
}

// contradictions compares what callers were told with what ran, and tells each
// place where the two cannot both be true.
func contradictions(stories []*story, ran runs) []string {
	var out []string
	for _, s := range stories {
		executions := 0
		for _, t := range s.ids {
			executions += len(ran[t.id])
			if problem := t.contradicted(s.work, ran[t.id]); problem != "" {
				out = append(out, fmt.Sprintf("%s (%s): %s", t.id, s.class, problem))
			}
		}
		if !s.idempotent && executions > 1 {
			out = append(out, fmt.Sprintf("%s (%s): ran %d times and may run once", s.ids[0].id, s.class, executions))
		}
	}
	return out
}

func (t told) contradicted(w work, ran []startedRun) string {
	switch {
	case t.kind == answerUnsent && len(ran) > 0:
		return "never sent, yet it ran"
	case t.verdict == callerapi.VerdictNotRun && t.kind == answerRefused && len(ran) > 0:
		return fmt.Sprintf("told not run (%s), yet it ran at %s", t.reason, ran[0].server)
	case t.kind == answerWhole && len(ran) == 0:
		return "answered whole, yet it never ran"
	case t.kind == answerWhole && !isAnswerOf(t, w, ran):
		return fmt.Sprintf("the answer is not that of the request: %.80q", t.text)
	}
	return ""
}

// isAnswerOf reports whether the text is the whole answer of one of the runs.
func isAnswerOf(t told, w work, ran []startedRun) bool {
	for _, run := range ran {
		if w.service {
			if strings.Contains(t.text, run.attempt) {
				return true
			}
			continue
		}
		var want strings.Builder
		for offset := range w.tokens {
			want.WriteString(engine.TokenText(run.attempt, offset))
		}
		if want.String() == t.text {
			return true
		}
	}
	return false
}
