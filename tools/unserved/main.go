// Command unserved reads the logs of relaying instances and prints, for each route, the
// window in which the largest share of its requests got no answer.
package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
)

// options of the command.
type options struct {
	Window time.Duration `help:"Length of a window." default:"5s"`
	Step   time.Duration `help:"Time between the starts of windows." default:"100ms"`
	Min    int           `help:"Requests that a window must have to count." default:"10"`
	Files  []string      `arg:"" help:"Logs of the instances." type:"existingfile"`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Print the worst window of each route in logs of relaying instances."))
	if err := o.run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "unserved:", err)
		os.Exit(1)
	}
}

var (
	errWindow = errors.New("window and step must be positive")
	errNoData = errors.New("no request_ended line states a service and a deadline_ms")
)

func (o *options) run(out io.Writer) error {
	if o.Window <= 0 || o.Step <= 0 {
		return errWindow
	}
	attempts, err := readFiles(o.Files)
	if err != nil {
		return err
	}
	if len(attempts) == 0 {
		return errNoData
	}
	return writeTable(out, worstWindows(link(attempts), o.Window, o.Step, o.Min))
}

func readFiles(names []string) ([]attempt, error) {
	var out []attempt
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		attempts, err := read(file)
		_ = file.Close() // only read
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		out = append(out, attempts...)
	}
	return out, nil
}

func writeTable(out io.Writer, windows []window) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "service\troute\trank\tfrom\trequests\tunserved\tshare")
	for _, x := range windows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%d\t%.3f\n",
			x.service, x.route, x.rank, x.from.Format("15:04:05.000"), x.requests, x.unserved, x.share())
	}
	return w.Flush()
}
