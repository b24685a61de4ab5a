package relay

import (
	"encoding/json"
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"basilrudder/internal/monotime"
	"basilrudder/internal/verdict"
)

const (
	// maxLatencyMicros bounds the histograms, in microseconds: a minute, above the
	// longest deadline. Latencies beyond it count as this value.
	maxLatencyMicros = 60_000_000
	// significantDigits is the precision of the histograms, in significant decimal
	// digits.
	significantDigits = 2
)

// Metrics counts requests by how they ended and keeps histograms of latency.
type Metrics struct {
	inFlight  expvar.Int
	answers   expvar.Map // by status; "cut" for aborted answers without a status
	unmarked  expvar.Map // answers to callers whose end is that of their connection
	reasons   expvar.Map
	sends     expvar.Map // failed sends by reason
	opened    expvar.Map // connections opened for requests, by service
	reused    expvar.Map // requests for which an idle connection was used, by service
	ends      expvar.Map // answers ended by their connection, by decision and evidence
	total     histogram
	firstByte histogram
	gaps      histogram
}

// Counts of answers that end with their connection.
const (
	unmarkedBegun  = "begun"
	unmarkedClosed = string(endByClose)
	unmarkedReset  = string(endByReset)
)

// NewMetrics returns Metrics with all counts zero.
func NewMetrics() *Metrics {
	m := &Metrics{}
	m.answers.Init()
	m.unmarked.Init()
	for _, name := range []string{unmarkedBegun, unmarkedClosed, unmarkedReset} {
		m.unmarked.Add(name, 0)
	}
	m.reasons.Init()
	m.sends.Init()
	m.opened.Init()
	m.reused.Init()
	m.ends.Init()
	for _, h := range []*histogram{&m.total, &m.firstByte, &m.gaps} {
		h.values = hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	}
	return m
}

// Vars returns the variables to be published by expvar.
func (m *Metrics) Vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Set("in_flight", &m.inFlight)
	vars.Set("answers", &m.answers)
	vars.Set("unmarked_answers", &m.unmarked)
	vars.Set("reasons", &m.reasons)
	vars.Set("failed_sends", &m.sends)
	vars.Set("connections_opened", &m.opened)
	vars.Set("connections_reused", &m.reused)
	vars.Set("unmarked_ends", &m.ends)
	vars.Set("total_us", &m.total)
	vars.Set("first_byte_us", &m.firstByte)
	vars.Set("longest_gap_us", &m.gaps)
	return vars
}

func (m *Metrics) sendFailed(reason verdict.Reason) {
	m.sends.Add(string(reason), 1)
}

// connected counts the connection that a request got.
func (m *Metrics) connected(service string, reused bool) {
	if reused {
		m.reused.Add(service, 1)
		return
	}
	m.opened.Add(service, 1)
}

// unmarkedOpen returns the number of answers in progress that end with their connection.
func (m *Metrics) unmarkedOpen() int64 {
	ended := m.unmarkedCount(unmarkedClosed) + m.unmarkedCount(unmarkedReset)
	return max(m.unmarkedCount(unmarkedBegun)-ended, 0)
}

func (m *Metrics) unmarkedCount(name string) int64 {
	return m.unmarked.Get(name).(*expvar.Int).Value()
}

func (m *Metrics) unmarkedEnd(end *unmarkedEnd) {
	m.ends.Add(string(end.decision)+": "+end.evidence.Basis(), 1)
}

func (m *Metrics) ended(f *forwarder, now monotime.Instant) {
	status := "cut"
	if f.status != 0 {
		status = strconv.Itoa(f.status)
	}
	m.answers.Add(status, 1)
	if f.framing == framingClose {
		m.unmarked.Add(string(f.callerEnd()), 1)
	}
	if f.reason != "" {
		m.reasons.Add(string(f.reason), 1)
	}
	m.total.record(now.Sub(f.arrived))
	if f.firstByte != 0 {
		m.firstByte.record(f.firstByte.Sub(f.arrived))
	}
	if f.stream.longestGap > 0 {
		m.gaps.record(f.stream.longestGap)
	}
}

// histogram is an expvar.Var of quantiles.
type histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values outside the bounds.
	_ = h.values.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

// String returns count and quantiles as JSON. It implements expvar.Var.
func (h *histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := json.Marshal(map[string]int64{
		"count": h.values.TotalCount(),
		"p50":   h.values.ValueAtQuantile(50),
		"p90":   h.values.ValueAtQuantile(90),
		"p99":   h.values.ValueAtQuantile(99),
		"max":   h.values.Max(),
	})
	if err != nil {
		return strconv.Quote(err.Error())
	}
	return string(out)
}
