// Package cli implements the commands of basilrudder.
package cli

import (
	"encoding/json"
	"io"
	"os"

	"github.com/go-faster/errors"

	"basilrudder/internal/relaylog"
	"basilrudder/internal/report"
)

// Exit codes of the commands.
const (
	// ExitOK means that the command succeeded and no required outcome was missed.
	ExitOK = 0
	// ExitMissed means that the command ran but a required outcome was missed.
	ExitMissed = 1
	// ExitBadInput is returned for every other error, such as invalid arguments or
	// unreadable files.
	ExitBadInput = 2
)

// ErrMissed is wrapped by errors that report a missed outcome; see ExitMissed.
var ErrMissed = errors.New("outcome missed")

// ExitCode returns the exit code for the result of a command.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrMissed):
		return ExitMissed
	default:
		return ExitBadInput
	}
}

// Streams are the outputs of a command; kong binds them to Run.
type Streams struct {
	// Out receives the command's result.
	Out io.Writer
	// Err is meant for diagnostics.
	Err io.Writer
}

// ReportCmd reports attainment, goodput, waste and burn from accounting lines.
type ReportCmd struct {
	Files []string `arg:"" name:"file" help:"Files of accounting lines, in any order; - for standard input."`
	JSON  bool     `name:"json" help:"Write JSON instead of a table."`
	HTML  string   `name:"html" type:"path" placeholder:"FILE" help:"Also write a page with plots that needs no other file."`
	Goal  float64  `name:"goal" default:"0.99" help:"Share of requests that should meet their target (the rule attainment_goal)."`
	Now   float64  `name:"now" placeholder:"SECONDS" help:"End of the burn windows in seconds since 1970; the last line's time by default."`
	Check bool     `name:"check" help:"Exit with 1 when a class misses the goal."`
}

// Run writes the report. With --check it returns ErrMissed when a class misses the goal.
func (c *ReportCmd) Run(streams *Streams) error {
	if c.Goal <= 0 || c.Goal >= 1 {
		return errors.Errorf("--goal is %v, expected a share between 0 and 1", c.Goal)
	}
	r, err := report.Read(c.Files, report.Options{Goal: c.Goal, Now: c.Now})
	if err != nil {
		return errors.Wrap(err, "read accounting lines")
	}
	if err := c.write(r, streams.Out); err != nil {
		return errors.Wrap(err, "write the report")
	}
	if c.Check {
		return checkGoal(r)
	}
	return nil
}

func (c *ReportCmd) write(r *report.Report, out io.Writer) error {
	if c.HTML != "" {
		if err := writePage(r, c.HTML); err != nil {
			return err
		}
	}
	if c.JSON {
		return writeJSON(out, r)
	}
	return r.WriteTable(out)
}

func writePage(r *report.Report, name string) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := r.WriteHTML(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// checkGoal returns ErrMissed when a class misses the goal, or when the report contains
// no requests.
func checkGoal(r *report.Report) error {
	if r.Total.Requests == 0 {
		return errors.Wrap(ErrMissed, "the accounting lines contain no requests")
	}
	for _, class := range r.Classes {
		if class.Attainment < r.Goal {
			return errors.Wrapf(ErrMissed, "class %s: attainment %.4f is below the goal %.4f",
				class.Name, class.Attainment, r.Goal)
		}
	}
	return nil
}

// ExplainCmd prints the recorded events of one request.
type ExplainCmd struct {
	ID    string   `arg:"" help:"Request id."`
	Files []string `arg:"" name:"file" help:"Files of accounting lines, or of the log lines of relaying instances; - for standard input."`
	JSON  bool     `name:"json" help:"Write JSON."`
}

// Run writes the explanation. It searches accounting lines first, and log lines of relaying
// instances only if no accounting line has the request.
func (c *ExplainCmd) Run(streams *Streams) error {
	explanation, err := report.Explain(c.ID, c.Files)
	if errors.Is(err, report.ErrUnknownRequest) {
		if relayed, logErr := relaylog.Explain(c.ID, c.Files); logErr == nil {
			return relayed.WriteText(streams.Out)
		}
	}
	if err != nil {
		return errors.Wrap(err, "explain")
	}
	if c.JSON {
		return writeJSON(streams.Out, explanation)
	}
	return explanation.WriteText(streams.Out)
}
