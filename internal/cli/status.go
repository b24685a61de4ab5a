package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"basilrudder/internal/daemon"
)

// statusTimeout bounds the status request. An instance that takes longer is reported as an
// error.
const statusTimeout = 5 * time.Second

// StatusCmd prints the status that an instance reports on its admin address.
type StatusCmd struct {
	Address string `arg:"" help:"Admin address of the instance, host:port."`
	JSON    bool   `help:"Print JSON."`
}

// Run requests the status and prints it.
func (c *StatusCmd) Run(streams *Streams) error {
	code, body, err := fasthttp.GetTimeout(nil, "http://"+c.Address+"/v1/status", statusTimeout)
	if err != nil {
		return errors.Wrapf(err, "status of %s", c.Address)
	}
	if code != fasthttp.StatusOK {
		return errors.Errorf("status of %s: HTTP status %d", c.Address, code)
	}
	if c.JSON {
		_, err = streams.Out.Write(body)
		return err
	}
	var status daemon.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return errors.Wrapf(err, "status of %s", c.Address)
	}
	return printStatus(streams.Out, &status)
}

func printStatus(out io.Writer, s *daemon.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("instance", "%s (%s) in %s, up %.0f s", s.Instance, s.Incarnation, s.DataCentre, s.UptimeS)
	row("configuration", "revision %d, confirmed %s ago, platform heard %s ago, reader %v",
		s.Config.Revision, seconds(s.Config.ConfirmedAgeS), seconds(s.Config.PlatformAgeS), s.Config.Reader)
	row("members", "%d live, %d leaving, %d known, confirmed %v",
		len(s.Members.Live), len(s.Members.Leaving), s.Members.Known, s.Members.Confirmed)
	row("links", "%d", len(s.Links))
	row("requests", "%d held, %d waiting, %d ids remembered, draining %v",
		s.Node.Requests, s.Node.Waiting, s.Node.IDs, s.Node.Draining)
	row("served", "%d, of these %d on time; retried %d",
		s.Node.Counts.Served, s.Node.Counts.OnTime, s.Node.Counts.Retried)
	row("ended otherwise", "%d refused at once, %d not run, %d may have run, %d ran",
		s.Node.Counts.Refused, s.Node.Counts.NotRun, s.Node.Counts.MayHaveRun, s.Node.Counts.RanFailed)
	row("orders to engines", "%d sent, %d refused, %d corrected, %d waiting to load, behind %v",
		s.Orders.Sent, s.Orders.Refused, s.Orders.Corrected, s.Orders.Waiting, s.Orders.Behind)
	row("pauses", "%d, isolated %v", s.Node.Pauses, s.Node.Isolated)
	for _, g := range s.Node.Owned {
		row("owns "+g.Group, "%d waiting, %d slots held, used %.1f s ago", g.Stats.Waiting, g.Stats.Held, g.IdleS)
		for _, e := range g.Stats.Engines {
			row("  "+e.ID, "%d of %d slots, pace %.2f, ejected %v, withdrawn %v", e.Inflight, e.Limit, e.Slow, e.Ejected, e.Withdrawn)
		}
	}
	return w.Flush()
}

// seconds formats a duration in seconds; a negative one means never.
func seconds(s float64) string {
	if s < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f s", s)
}
