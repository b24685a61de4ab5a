package accounting

import (
	"expvar"
	"sync"

	"basilrudder/internal/quantile"
	"basilrudder/internal/schema/accounting"
)

// noLabel is the label in the counters for an empty class, reason or verdict.
const noLabel = "none"

// metrics counts records by class, reason and verdict. Customers are not labels: there may
// be tens of thousands of them, and the report lists them.
type metrics struct {
	vars        *expvar.Map
	started     *expvar.Map
	ended       *expvar.Map
	inFlight    *expvar.Map
	onTime      *expvar.Map
	delivered   *expvar.Map
	reasons     *expvar.Map
	verdicts    *expvar.Map
	tokens      *expvar.Map
	wasted      *expvar.Map
	lost        *expvar.Int
	writeErrors *expvar.Int
	firstToken  *histograms
	total       *histograms
}

func newMetrics() *metrics {
	m := &metrics{
		vars:        new(expvar.Map).Init(),
		lost:        new(expvar.Int),
		writeErrors: new(expvar.Int),
		firstToken:  newHistograms(),
		total:       newHistograms(),
	}
	m.started = m.newCounters("started_by_class")
	m.ended = m.newCounters("ended_by_class")
	m.inFlight = m.newCounters("in_flight_by_class")
	m.onTime = m.newCounters("on_time_by_class")
	m.delivered = m.newCounters("delivered_by_class")
	m.reasons = m.newCounters("ended_by_reason")
	m.verdicts = m.newCounters("ended_by_verdict")
	m.tokens = m.newCounters("tokens_by_class")
	m.wasted = m.newCounters("wasted_tokens_by_class")
	m.vars.Set("lost_lines", m.lost)
	m.vars.Set("write_errors", m.writeErrors)
	m.vars.Set("first_token_ms_by_class", expvar.Func(m.firstToken.export))
	m.vars.Set("total_ms_by_class", expvar.Func(m.total.export))
	return m
}

func (m *metrics) newCounters(name string) *expvar.Map {
	counters := new(expvar.Map).Init()
	m.vars.Set(name, counters)
	return counters
}

func (m *metrics) observe(r *accounting.Record) {
	class := label(r.Class)
	switch r.Kind {
	case accounting.RecordKindStart:
		m.started.Add(class, 1)
		m.inFlight.Add(class, 1)
	case accounting.RecordKindEnd:
		m.observeEnd(class, r)
	}
}

func (m *metrics) observeEnd(class string, r *accounting.Record) {
	m.inFlight.Add(class, -1)
	m.ended.Add(class, 1)
	m.reasons.Add(label(r.Reason), 1)
	m.verdicts.Add(label(r.Verdict), 1)
	m.tokens.Add(class, int64(r.Tokens))
	m.wasted.Add(class, int64(r.WastedTokens))
	if r.Delivered {
		m.delivered.Add(class, 1)
		m.total.record(class, r.TotalMS)
	}
	if r.OnTime {
		m.onTime.Add(class, 1)
	}
	if r.FirstTokenMS > 0 {
		m.firstToken.record(class, r.FirstTokenMS)
	}
}

func label(s string) string {
	if s == "" {
		return noLabel
	}
	return s
}

// histograms holds one histogram for each class.
type histograms struct {
	mu      sync.Mutex
	byClass map[string]*quantile.Histogram
}

func newHistograms() *histograms {
	return &histograms{byClass: make(map[string]*quantile.Histogram)}
}

func (h *histograms) record(class string, ms float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	histogram := h.byClass[class]
	if histogram == nil {
		histogram = new(quantile.Histogram)
		h.byClass[class] = histogram
	}
	histogram.Record(ms)
}

func (h *histograms) export() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]quantile.Summary, len(h.byClass))
	for class, histogram := range h.byClass {
		out[class] = histogram.Summary()
	}
	return out
}
