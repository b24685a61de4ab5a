package upstream

import (
	"encoding/json"
	"sync/atomic"
)

// Kind is the kind of a call to an upstream.
type Kind uint8

// Kinds of calls. All but the first three are control calls.
const (
	KindGenerate Kind = iota
	KindResume
	KindService
	KindCancel
	KindLoad
	KindCacheEvents
	KindHolds
	KindOrder
	kindCount
)

var kindNames = [kindCount]string{
	"generate", "resume", "service", "cancel", "load", "cache_events", "holds", "order",
}

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return kindNames[k]
}

// CallStats holds the statistics of the calls of one kind.
type CallStats struct {
	// Calls is the number of calls made. A control call that was retried counts twice.
	Calls uint64 `json:"calls"`
	// Errors is the number of calls that failed or got an unsuccessful answer.
	Errors uint64 `json:"errors"`
	// BytesOut and BytesIn are the bytes sent and received by calls that have ended,
	// headers included.
	BytesOut uint64 `json:"bytes_out"`
	BytesIn  uint64 `json:"bytes_in"`
}

// Counters counts the calls of a Client by kind. It implements expvar.Var.
type Counters struct {
	kinds [kindCount]callCounters
}

type callCounters struct {
	calls, errors, bytesOut, bytesIn atomic.Uint64
}

// Of returns the statistics of one kind.
func (c *Counters) Of(kind Kind) CallStats {
	k := &c.kinds[kind]
	return CallStats{
		Calls:    k.calls.Load(),
		Errors:   k.errors.Load(),
		BytesOut: k.bytesOut.Load(),
		BytesIn:  k.bytesIn.Load(),
	}
}

// String returns the statistics by kind as JSON, as expvar.Var requires. Kinds without
// calls are omitted.
func (c *Counters) String() string {
	out := make(map[string]CallStats, kindCount)
	for kind := range kindCount {
		if stats := c.Of(kind); stats.Calls > 0 {
			out[kind.String()] = stats
		}
	}
	data, err := json.Marshal(out)
	if err != nil {
		return "{}"
	}
	return string(data)
}

func (c *callCounters) addBytes(cn *conn) {
	c.bytesOut.Add(uint64(cn.written))
	c.bytesIn.Add(uint64(cn.received))
}
