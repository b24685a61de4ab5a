package report

import (
	"sort"

	"basilrudder/internal/quantile"
)

// DefaultGoal is the attainment goal when none is given.
const DefaultGoal = 0.99

// Options of a report.
type Options struct {
	// Goal is the share of requests that should meet their target, between 0 and
	// 1; 0 for DefaultGoal.
	Goal float64
	// Now is the wall-clock time at which the windows end, in seconds since 1970;
	// 0 for the time of the latest line.
	Now float64
}

// Report holds the outcomes of requests, by class and by customer.
type Report struct {
	// From and To are the times of the first and last line, in seconds since 1970.
	From float64 `json:"from"`
	To   float64 `json:"to"`
	// Goal is the attainment goal.
	Goal float64 `json:"goal"`
	// Lines that were read.
	Lines Lines `json:"lines"`
	// Total of all requests.
	Total Totals `json:"total"`
	// Burn of all requests.
	Burn []Burn `json:"burn"`
	// Classes sorted by name.
	Classes []Class `json:"classes"`
	// Customers sorted by name.
	Customers []Customer `json:"customers"`
	// Cells are the totals by customer and class, sorted.
	Cells []Cell `json:"cells"`
	// Refusals by customer, class and reason, sorted.
	Refusals []Refusal `json:"refusals"`
	// Series holds the totals over time.
	Series []Bucket `json:"series"`
}

// Class is the report on one request class.
type Class struct {
	// Name of the class.
	Name string `json:"name"`
	// Totals of its requests.
	Totals
	// FirstToken is the time to the first token of served requests.
	FirstToken quantile.Summary `json:"first_token_ms"`
	// Duration is the time to the end of served requests.
	Duration quantile.Summary `json:"total_ms"`
	// Queue is the time in queues of served requests.
	Queue quantile.Summary `json:"queue_ms"`
	// Burn over several windows.
	Burn []Burn `json:"burn"`
}

// Customer is the report on one customer.
type Customer struct {
	// Name of the customer.
	Name string `json:"name"`
	// Totals of its requests.
	Totals
}

// Cell is the report on one customer's requests of one class.
type Cell struct {
	// Customer name.
	Customer string `json:"customer"`
	// Class name.
	Class string `json:"class"`
	// Totals of the requests.
	Totals
}

// Refusal counts requests that were not served, for one reason.
type Refusal struct {
	// Customer name.
	Customer string `json:"customer"`
	// Class name.
	Class string `json:"class"`
	// Reason code; unknown for requests without an end.
	Reason string `json:"reason"`
	// Verdict on the requests.
	Verdict string `json:"verdict"`
	// Requests counted.
	Requests int `json:"requests"`
}

// Totals counts requests and tokens.
type Totals struct {
	// Requests is the sum of Served, Refused, Failed and Unknown.
	Requests int `json:"requests"`
	// Served requests: the whole answer was delivered.
	Served int `json:"served"`
	// OnTime counts served requests that met their targets.
	OnTime int `json:"on_time"`
	// Refused requests: they did not run.
	Refused int `json:"refused"`
	// OwnFault counts refused requests that the caller or its limits caused.
	OwnFault int `json:"own_fault"`
	// Failed requests: they ran, or may have, and were not delivered.
	Failed int `json:"failed"`
	// Unknown requests have no end line.
	Unknown int `json:"unknown"`
	// GoodTokens were delivered on time.
	GoodTokens int `json:"good_tokens"`
	// Tokens of served requests.
	Tokens int `json:"tokens"`
	// WastedTokens were generated for an answer that nobody received or that failed.
	WastedTokens int `json:"wasted_tokens"`
	// UnknownTokens were relayed by requests whose end is unknown.
	UnknownTokens int `json:"unknown_tokens"`
	// Attainment is OnTime divided by Requests without OwnFault; 1 if there are none.
	Attainment float64 `json:"attainment"`
	// GoodputPerS is OnTime requests per second of the report's time.
	GoodputPerS float64 `json:"goodput_per_s"`
	// GoodTokensPerS is GoodTokens per second of the report's time.
	GoodTokensPerS float64 `json:"good_tokens_per_s"`
	// WasteShare is WastedTokens divided by the sum of WastedTokens and Tokens.
	WasteShare float64 `json:"waste_share"`
}

// Read reads accounting lines from the files; "-" is standard input.
func Read(files []string, options Options) (*Report, error) {
	rs := newRequests()
	lines, err := readFiles(files, rs)
	if err != nil {
		return nil, err
	}
	return build(rs, lines, options), nil
}

func build(rs *requests, lines Lines, options Options) *Report {
	if options.Goal == 0 {
		options.Goal = DefaultGoal
	}
	if options.Now == 0 {
		options.Now = rs.last
	}
	b := builder{
		report:    &Report{From: rs.first, To: rs.last, Goal: options.Goal, Lines: lines},
		classes:   make(map[string]*classBuilder),
		customers: make(map[string]*Totals),
		cells:     make(map[[2]string]*Totals),
		refusals:  make(map[Refusal]int),
		burn:      newBurnCounter(options),
	}
	timeline := newTimeline(rs.first, rs.last)
	// Only sums are counted, so the order of requests has no effect.
	rs.each(func(r *request) {
		b.add(r, options)
		timeline.add(r)
	})
	b.report.Series = timeline.series()
	b.finish(options)
	return b.report
}

// builder collects the parts of a report.
type builder struct {
	report    *Report
	classes   map[string]*classBuilder
	customers map[string]*Totals
	cells     map[[2]string]*Totals
	refusals  map[Refusal]int
	burn      *burnCounter
}

type classBuilder struct {
	totals                      Totals
	firstToken, duration, queue quantile.Histogram
	burn                        *burnCounter
}

func (b *builder) add(r *request, options Options) {
	b.report.Total.add(r)
	b.burn.add(r)
	class := b.classes[r.class]
	if class == nil {
		class = &classBuilder{burn: newBurnCounter(options)}
		b.classes[r.class] = class
	}
	class.add(r)
	totalsIn(b.customers, r.customer).add(r)
	totalsIn(b.cells, [2]string{r.customer, r.class}).add(r)
	if r.outcome() != Served {
		b.refusals[refusalOf(r)]++
	}
}

func totalsIn[K comparable](m map[K]*Totals, k K) *Totals {
	t := m[k]
	if t == nil {
		t = new(Totals)
		m[k] = t
	}
	return t
}

func (c *classBuilder) add(r *request) {
	c.totals.add(r)
	c.burn.add(r)
	if r.outcome() != Served {
		return
	}
	c.duration.Record(float64(r.end.totalMS))
	c.queue.Record(float64(r.end.queueMS))
	if r.end.firstToken > 0 {
		c.firstToken.Record(float64(r.end.firstToken))
	}
}

func (t *Totals) add(r *request) {
	t.Requests++
	switch r.outcome() {
	case Served:
		t.Served++
		t.Tokens += r.end.tokens
		t.WastedTokens += r.end.wasted
	case Refused:
		t.Refused++
		t.WastedTokens += r.end.wasted
	case Failed:
		t.Failed++
		// Nobody received the answer, including the part that was relayed.
		t.WastedTokens += max(r.end.wasted, r.end.tokens)
	default:
		t.Unknown++
		t.UnknownTokens += r.marked
	}
	if r.ownFault() {
		t.OwnFault++
	}
	if r.onTime() {
		t.OnTime++
		t.GoodTokens += r.end.tokens
	}
}

// rates computes the figures derived from the counts.
func (t *Totals) rates(seconds float64) {
	t.Attainment = 1
	if counted := t.Requests - t.OwnFault; counted > 0 {
		t.Attainment = float64(t.OnTime) / float64(counted)
	}
	if seconds > 0 {
		t.GoodputPerS = float64(t.OnTime) / seconds
		t.GoodTokensPerS = float64(t.GoodTokens) / seconds
	}
	if t.WastedTokens > 0 {
		t.WasteShare = float64(t.WastedTokens) / float64(t.WastedTokens+t.Tokens)
	}
}

func refusalOf(r *request) Refusal {
	out := Refusal{Customer: r.customer, Class: r.class, Reason: reasonUnknown, Verdict: verdictUnknown}
	if r.end != nil {
		out.Reason = r.end.reason
		out.Verdict = r.end.verdict
	}
	return out
}

// Texts for requests without an end line.
const (
	reasonUnknown  = "unknown"
	verdictUnknown = "unknown"
)

func (b *builder) finish(options Options) {
	seconds := b.report.To - b.report.From
	b.report.Total.rates(seconds)
	b.report.Burn = b.burn.burn(options.Goal)
	for _, name := range sortedKeys(b.classes, func(a, b string) bool { return a < b }) {
		c := b.classes[name]
		c.totals.rates(seconds)
		b.report.Classes = append(b.report.Classes, Class{
			Name:       name,
			Totals:     c.totals,
			FirstToken: c.firstToken.Summary(),
			Duration:   c.duration.Summary(),
			Queue:      c.queue.Summary(),
			Burn:       c.burn.burn(options.Goal),
		})
	}
	for _, name := range sortedKeys(b.customers, func(a, b string) bool { return a < b }) {
		b.customers[name].rates(seconds)
		b.report.Customers = append(b.report.Customers, Customer{Name: name, Totals: *b.customers[name]})
	}
	for _, k := range sortedKeys(b.cells, lessPair) {
		b.cells[k].rates(seconds)
		b.report.Cells = append(b.report.Cells, Cell{Customer: k[0], Class: k[1], Totals: *b.cells[k]})
	}
	b.report.Refusals = sortedRefusals(b.refusals)
}

func sortedKeys[K comparable, V any](m map[K]V, less func(a, b K) bool) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return less(keys[i], keys[j]) })
	return keys
}

func lessPair(a, b [2]string) bool {
	if a[0] != b[0] {
		return a[0] < b[0]
	}
	return a[1] < b[1]
}

func sortedRefusals(counts map[Refusal]int) []Refusal {
	out := make([]Refusal, 0, len(counts))
	for refusal, n := range counts {
		refusal.Requests = n
		out = append(out, refusal)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		switch {
		case a.Customer != b.Customer:
			return a.Customer < b.Customer
		case a.Class != b.Class:
			return a.Class < b.Class
		case a.Reason != b.Reason:
			return a.Reason < b.Reason
		default:
			return a.Verdict < b.Verdict
		}
	})
	return out
}
