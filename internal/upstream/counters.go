package upstream

import (
	"encoding/json"
	"sync/atomic"
)

// Kind of a call to an upstream.
type Kind uint8

// Kinds. All but the first three are control traffic.
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

// CallStats counts the calls of one kind.
type CallStats struct {
	// Calls made; a control call that was made again counts twice.
	Calls uint64 `json:"calls"`
	// Errors among them: failed connections and answers without success.
	Errors uint64 `json:"errors"`
	// BytesOut and BytesIn of ended calls, header included.
	BytesOut uint64 `json:"bytes_out"`
	BytesIn  uint64 `json:"bytes_in"`
}

// Counters counts the calls of a Client by kind. It is an expvar.Var.
type Counters struct {
	kinds [kindCount]callCounters
}

type callCounters struct {
	calls, errors, bytesOut, bytesIn atomic.Uint64
}

// Of returns the counts of one kind.
func (c *Counters) Of(kind Kind) CallStats {
	k := &c.kinds[kind]
	return CallStats{
		Calls:    k.calls.Load(),
		Errors:   k.errors.Load(),
		BytesOut: k.bytesOut.Load(),
		BytesIn:  k.bytesIn.Load(),
	}
}

// String returns the counts by kind as JSON, as expvar.Var wants.
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
