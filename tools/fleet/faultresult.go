package main

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"
)

// faultResult is what one scenario brought.
type faultResult struct {
	Scenario string `json:"scenario"`
	Daemons  int    `json:"daemons"`
	// Faults that were brought about.
	Faults int     `json:"faults"`
	TookS  float64 `json:"took_s"`
	// Requests by how they ended for their caller: answered whole, not answered
	// and possibly run, and not answered and not run.
	Requests  int `json:"requests"`
	Whole     int `json:"whole"`
	Uncertain int `json:"uncertain"`
	NotRun    int `json:"given_up_not_run"`
	// Retried requests needed more than one id.
	Retried int `json:"retried"`
	// Refusals and losses that callers saw on the way, by reason.
	Reasons map[string]int `json:"reasons"`
	// Executions started by the stand-ins, all scenarios so far.
	Executions int `json:"executions_so_far"`
	// Contradictions between verdicts and executions; there must be none.
	Contradictions []string `json:"contradictions"`
	// Lost gives the stories of some requests that were not answered.
	Lost []string `json:"lost,omitempty"`
	// LastStartMS is when withdrawn servers last started a request, in ms after
	// the publication, by withdrawal; below 0 when none came after it.
	LastStartMS []float64 `json:"last_start_ms,omitempty"`
	LoadAverage float64   `json:"load_average"`
	Seed        uint64    `json:"seed"`
	Go          string    `json:"go"`
}

func (r *faultRun) judge(name string, stories []*story) faultResult {
	ran := r.fleet.standins.runs()
	out := faultResult{
		Scenario: name, Daemons: r.cmd.Daemons, Faults: r.count, Requests: len(stories),
		Reasons: make(map[string]int), Executions: len(ran),
		Contradictions: contradictions(stories, ran), LastStartMS: r.last,
		LoadAverage: loadAverage(), Seed: r.cmd.Seed, Go: runtime.Version(),
	}
	for _, s := range stories {
		out.add(s)
	}
	return out
}

func (out *faultResult) add(s *story) {
	if len(s.ids) > 1 {
		out.Retried++
	}
	for _, t := range s.ids {
		switch t.kind {
		case answerRefused:
			out.Reasons[string(t.verdict)+" "+t.reason]++
		case answerLost:
			out.Reasons["lost"]++
		case answerUnsent:
			out.Reasons["no connection"]++
		}
	}
	uncertain := slices.ContainsFunc(s.ids, func(t told) bool {
		return t.kind == answerLost || t.kind == answerRefused && t.verdict != "not_run"
	})
	switch {
	case s.whole:
		out.Whole++
		return
	case uncertain:
		out.Uncertain++
	default:
		out.NotRun++
	}
	if len(out.Lost) < lostShown {
		out.Lost = append(out.Lost, fmt.Sprintf("%s, %d ids, after %v: %s",
			s.class, len(s.ids), time.Since(s.began).Round(time.Millisecond), s.why))
	}
}

func (out *faultResult) print(w io.Writer) {
	fmt.Fprintf(w, "%-9s %3d faults in %5.1f s: %5d requests, %5d whole, %3d uncertain, %3d not run; %3d retried %v; %d contradictions; load %.1f\n",
		out.Scenario, out.Faults, out.TookS, out.Requests, out.Whole, out.Uncertain, out.NotRun,
		out.Retried, out.Reasons, len(out.Contradictions), out.LoadAverage)
	for _, text := range append(out.Contradictions, out.Lost...) {
		fmt.Fprintln(w, "   ", text)
	}
	if len(out.LastStartMS) > 0 {
		fmt.Fprintf(w, "    last start at a withdrawn server, ms after publication: %.0f\n", out.LastStartMS)
	}
}
