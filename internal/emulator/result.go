package emulator

import (
	"fmt"
	"io"
	"text/tabwriter"

	"basilrudder/internal/placement"
)

// Outcome is the result of one request for its caller.
type Outcome uint8

// Outcomes.
const (
	// OnTime: complete, with the first event and all gaps within their bounds.
	OnTime Outcome = iota
	// Late: complete, but the first event or a gap exceeded its bound.
	Late
	// Refused: refused on both attempts.
	Refused
	// Failed: interrupted by a crash, or incomplete at the timeout.
	Failed

	outcomeCount
)

// ClassResult counts the outcomes of a class.
type ClassResult struct {
	Name   string
	Counts [outcomeCount]int
	// Pauses compares predicted with real pauses above the limit, less
	// placement.PauseMargin, of complete responses that began after the warm-up.
	Pauses placement.Calibration
}

// Total returns the number of requests.
func (c *ClassResult) Total() int {
	sum := 0
	for _, n := range c.Counts {
		sum += n
	}
	return sum
}

// Share returns the fraction of requests with the given outcome.
func (c *ClassResult) Share(o Outcome) float64 {
	return float64(c.Counts[o]) / float64(max(1, c.Total()))
}

// Result holds the outcomes by class, in the order of the scenario.
type Result struct {
	Classes []ClassResult
	// PromptTokens is the sum of the lengths of all prompts, and PromptTokensRead the number
	// of prompt tokens that engines read.
	PromptTokens, PromptTokensRead int
	// Opened is the number of connections that instances opened to engines, and Reused the
	// number of requests sent on an idle one.
	Opened, Reused int
}

func newResult(s Scenario) Result {
	var r Result
	for _, class := range s.Classes {
		r.Classes = append(r.Classes, ClassResult{Name: class.Name})
	}
	return r
}

func (r *Result) count(class string, o Outcome) { r.Class(class).Counts[o]++ }

// Class returns the counts of a class, or nil if the scenario has no such class.
func (r *Result) Class(name string) *ClassResult {
	for i := range r.Classes {
		if r.Classes[i].Name == name {
			return &r.Classes[i]
		}
	}
	return nil
}

// OnTime returns the fraction of all requests that were on time.
func (r *Result) OnTime() float64 {
	sum, all := 0, 0
	for i := range r.Classes {
		sum += r.Classes[i].Counts[OnTime]
		all += r.Classes[i].Total()
	}
	return float64(sum) / float64(max(1, all))
}

// Print writes the outcomes as a table and a summary line.
func (r *Result) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\trequests\ton time\tlate\trefused\tfailed\t")
	for i := range r.Classes {
		c := &r.Classes[i]
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t\n",
			c.Name, c.Total(), c.Share(OnTime), c.Share(Late), c.Share(Refused), c.Share(Failed))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w, "pauses\tstreams\tpredicted late\tlate\tby tenths: predicted/late of streams\t")
	for i := range r.Classes {
		p := &r.Classes[i].Pauses
		streams, predicted, late := p.Totals()
		fmt.Fprintf(w, "%s\t%.0f\t%.3f\t%.3f\t", r.Classes[i].Name, streams, predicted/max(1, streams), late/max(1, streams))
		for bin, n := range p.Streams {
			if n > 0 {
				fmt.Fprintf(w, " %.2f/%.2f of %.0f", p.Predicted[bin]/n, p.Late[bin]/n, n)
			}
		}
		fmt.Fprintln(w, "\t")
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "on time over all %.3f; %.1f million prompt tokens read; %d connections opened for %d requests sent\n",
		r.OnTime(), float64(r.PromptTokensRead)/1e6, r.Opened, r.Opened+r.Reused)
	return err
}
