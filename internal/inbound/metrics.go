package inbound

// Metrics counts the connections of a kind that were ended for lack of descriptors, and the requests
// that were given up for lack of memory (shed).
type Metrics struct {
	ClosedIdle       int64 `json:"closed_idle"`
	ClosedIncomplete int64 `json:"closed_incomplete"`
	ClosedStalled    int64 `json:"closed_stalled"`
	Shed             int64 `json:"shed"`
	Refused          int64 `json:"refused"`
	Full             bool  `json:"full"`
}

// Metrics returns the counts so far.
func (c *Conns) Metrics() Metrics {
	return Metrics{
		ClosedIdle: c.closedIdle.Load(), ClosedIncomplete: c.closedIncomplete.Load(),
		ClosedStalled: c.closedStalled.Load(), Shed: c.shed.Load(), Refused: c.refused.Load(), Full: c.Full(),
	}
}
