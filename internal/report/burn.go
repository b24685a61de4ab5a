package report

import "time"

// windows are the windows of burn, shortest first. A high burn over a short and a long
// window together indicates a fault that has lasted and has not ended.
var windows = []time.Duration{
	5 * time.Minute,
	time.Hour,
	6 * time.Hour,
	24 * time.Hour,
	30 * 24 * time.Hour,
}

// Burn is the rate at which the error budget, 1 minus the goal, is consumed: 1 consumes it
// exactly, 10 ten times as much.
type Burn struct {
	// WindowS is the length of the window in seconds, ending at the report's now.
	WindowS int `json:"window_s"`
	// Requests in the window, without those refused by their own fault.
	Requests int `json:"requests"`
	// Missed counts requests that did not meet their target.
	Missed int `json:"missed"`
	// Rate is the share of missed requests divided by the error budget.
	Rate float64 `json:"rate"`
}

type burnCounter struct {
	now    float64
	counts []Burn
}

func newBurnCounter(options Options) *burnCounter {
	c := &burnCounter{now: options.Now}
	for _, window := range windows {
		c.counts = append(c.counts, Burn{WindowS: int(window.Seconds())})
	}
	return c
}

func (c *burnCounter) add(r *request) {
	if r.ownFault() {
		return
	}
	age := c.now - r.at()
	for i := range c.counts {
		w := &c.counts[i]
		if age < 0 || age > float64(w.WindowS) {
			continue
		}
		w.Requests++
		if !r.onTime() {
			w.Missed++
		}
	}
}

func (c *burnCounter) burn(goal float64) []Burn {
	out := append([]Burn(nil), c.counts...)
	for i := range out {
		if out[i].Requests > 0 {
			missed := float64(out[i].Missed) / float64(out[i].Requests)
			out[i].Rate = missed / (1 - goal)
		}
	}
	return out
}
