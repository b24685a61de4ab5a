package report

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": percent,
	"clock":   wallClock,
	"window":  windowName,
}).Parse(pageText))

// pageData is the content of the page.
type pageData struct {
	*Report
	// Plots are svg elements.
	Plots []template.HTML
	// Tables of totals.
	Tables []totalsTable
}

type totalsTable struct {
	Title string
	Rows  []totalsRow
}

type totalsRow struct {
	Name string
	Totals
}

// WriteHTML writes the report as a single self-contained page.
func (r *Report) WriteHTML(out io.Writer) error {
	data := pageData{Report: r, Tables: r.tables()}
	draws := []func(*Report) (*plot.Plot, error){plotAttainment, plotOutcomes, plotTokens, plotBurn}
	for _, draw := range draws {
		p, err := draw(r)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		text, err := svg(p)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		// The plotting library escapes the texts that it draws.
		data.Plots = append(data.Plots, template.HTML(text))
	}
	return page.Execute(out, data)
}

func (r *Report) tables() []totalsTable {
	classes := totalsTable{Title: "Classes"}
	for _, c := range r.Classes {
		classes.Rows = append(classes.Rows, totalsRow{c.Name, c.Totals})
	}
	classes.Rows = append(classes.Rows, totalsRow{"total", r.Total})
	customers := totalsTable{Title: "Customers"}
	for _, c := range r.Customers {
		customers.Rows = append(customers.Rows, totalsRow(c))
	}
	cells := totalsTable{Title: "Customers and classes"}
	for _, c := range r.Cells {
		cells.Rows = append(cells.Rows, totalsRow{c.Customer + " / " + c.Class, c.Totals})
	}
	return []totalsTable{classes, customers, cells}
}
