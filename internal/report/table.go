package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteTable writes the report as readable tables.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "From %s to %s, goal %s\n", wallClock(r.From), wallClock(r.To), percent(r.Goal))
	fmt.Fprintf(w, "Lines: %d accounting, %d damaged, %d other, %d lost\n\n",
		r.Lines.Accounting, r.Lines.Damaged, r.Lines.Other, r.Lines.Lost)
	r.writeTotals(w)
	r.writeLatency(w)
	r.writeBurn(w)
	r.writeRefusals(w)
	return w.Flush()
}

const totalsHeader = "\trequests\tserved\ton time\trefused\town fault\tfailed\tunknown\tattainment\tgoodput/s\ttokens/s\twaste\t"

func (r *Report) writeTotals(w io.Writer) {
	fmt.Fprintln(w, "CLASS"+totalsHeader)
	for _, class := range r.Classes {
		writeRow(w, class.Name, class.Totals)
	}
	writeRow(w, "total", r.Total)
	fmt.Fprintln(w, "\nCUSTOMER"+totalsHeader)
	for _, customer := range r.Customers {
		writeRow(w, customer.Name, customer.Totals)
	}
	fmt.Fprintln(w, "\nCUSTOMER / CLASS"+totalsHeader)
	for _, cell := range r.Cells {
		writeRow(w, cell.Customer+" / "+cell.Class, cell.Totals)
	}
}

func writeRow(w io.Writer, name string, t Totals) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%.2f\t%.1f\t%s\t\n", printable(name), t.Requests, t.Served, t.OnTime,
		t.Refused, t.OwnFault, t.Failed, t.Unknown, percent(t.Attainment), t.GoodputPerS, t.GoodTokensPerS, percent(t.WasteShare))
}

func (r *Report) writeLatency(w io.Writer) {
	fmt.Fprintln(w, "\nSERVED, ms\tqueue p95\tfirst token p50\tp95\tp99\ttotal p50\tp95\tp99\t")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", printable(c.Name), c.Queue.P95,
			c.FirstToken.P50, c.FirstToken.P95, c.FirstToken.P99, c.Duration.P50, c.Duration.P95, c.Duration.P99)
	}
}

func (r *Report) writeBurn(w io.Writer) {
	fmt.Fprint(w, "\nBURN\t")
	for _, burn := range r.Burn {
		fmt.Fprintf(w, "%s\t", windowName(burn.WindowS))
	}
	fmt.Fprintln(w)
	for _, class := range r.Classes {
		writeBurnRow(w, class.Name, class.Burn)
	}
	writeBurnRow(w, "total", r.Burn)
}

func writeBurnRow(w io.Writer, name string, burns []Burn) {
	fmt.Fprintf(w, "%s\t", printable(name))
	for _, burn := range burns {
		fmt.Fprintf(w, "%.2f\t", burn.Rate)
	}
	fmt.Fprintln(w)
}

func (r *Report) writeRefusals(w io.Writer) {
	if len(r.Refusals) == 0 {
		return
	}
	fmt.Fprintln(w, "\nNOT SERVED\tclass\treason\tverdict\trequests\t")
	for _, f := range r.Refusals {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t\n", printable(f.Customer), printable(f.Class),
			printable(f.Reason), printable(f.Verdict), f.Requests)
	}
}

// printable prevents text of damaged lines from breaking the columns or controlling the
// terminal.
func printable(s string) string {
	if s == "" {
		return "-"
	}
	return strings.Map(func(c rune) rune {
		if c < ' ' || c == 0x7f {
			return '?'
		}
		return c
	}, s)
}

func percent(share float64) string {
	return fmt.Sprintf("%.2f%%", 100*share)
}

// wallClock formats seconds since 1970 in UTC.
func wallClock(seconds float64) string {
	if seconds <= 0 {
		return "-"
	}
	const format = "2006-01-02 15:04:05"
	return time.UnixMilli(int64(seconds * 1000)).UTC().Format(format)
}
