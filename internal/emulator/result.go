package emulator

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Outcome is what a caller got.
type Outcome uint8

// Outcomes.
const (
	// OnTime: a whole answer, its first event and all pauses as asked.
	OnTime Outcome = iota
	// Late: a whole answer, too late.
	Late
	// Refused: told twice to come back.
	Refused
	// Failed: broken off, or not whole when the caller gave up.
	Failed

	outcomeCount
)

// ClassResult counts outcomes.
type ClassResult struct {
	Name   string
	Counts [outcomeCount]int
}

// Total is the number of requests.
func (c *ClassResult) Total() int {
	sum := 0
	for _, n := range c.Counts {
		sum += n
	}
	return sum
}

// Share is the share of requests that ended so.
func (c *ClassResult) Share(o Outcome) float64 {
	return float64(c.Counts[o]) / float64(max(1, c.Total()))
}

// Result is what callers got, by class in the order of the scenario.
type Result struct {
	Classes []ClassResult
	// PromptTokensRead is the number of prompt tokens that engines read.
	PromptTokensRead int
}

func newResult(s Scenario) Result {
	var r Result
	for _, class := range s.Classes {
		r.Classes = append(r.Classes, ClassResult{Name: class.Name})
	}
	return r
}

func (r *Result) count(class string, o Outcome) { r.Class(class).Counts[o]++ }

// Class returns the counts of a class; nil when there is none of the name.
func (r *Result) Class(name string) *ClassResult {
	for i := range r.Classes {
		if r.Classes[i].Name == name {
			return &r.Classes[i]
		}
	}
	return nil
}

// OnTime is the share of all requests that were on time.
func (r *Result) OnTime() float64 {
	sum, all := 0, 0
	for i := range r.Classes {
		sum += r.Classes[i].Counts[OnTime]
		all += r.Classes[i].Total()
	}
	return float64(sum) / float64(max(1, all))
}

// Print writes a table.
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
	_, err := fmt.Fprintf(out, "on time over all %.3f; %.1f million prompt tokens read\n", r.OnTime(), float64(r.PromptTokensRead)/1e6)
	return err
}
