package peer

import (
	"encoding/json"
	"sync/atomic"

	"basilrudder/internal/schema/wire"
)

// Counters counts the traffic and the events of all links. It implements expvar.Var.
type Counters struct {
	in, out           [kindCount]atomic.Uint64
	framesIn          atomic.Uint64
	framesOut         atomic.Uint64
	dials             atomic.Uint64
	dialFailures      atomic.Uint64
	handshakesRefused atomic.Uint64
	timedOut          atomic.Uint64
	queueFull         atomic.Uint64
	invalid           atomic.Uint64
	replaced          atomic.Uint64
	openLinks         atomic.Int64
}

// Snapshot holds the values of the counters at one time.
type Snapshot struct {
	// Links is the number of open links.
	Links int64 `json:"links"`
	// BytesIn and BytesOut count bytes by kind of message.
	BytesIn  map[string]uint64 `json:"bytes_in"`
	BytesOut map[string]uint64 `json:"bytes_out"`
	// FramesIn and FramesOut count frames, including keep-alive pings.
	FramesIn  uint64 `json:"frames_in"`
	FramesOut uint64 `json:"frames_out"`
	// Dials and DialFailures count attempts to open a link.
	Dials        uint64 `json:"dials"`
	DialFailures uint64 `json:"dial_failures"`
	// HandshakesRefused counts failed upgrades and handshakes, such as with a wrong key.
	HandshakesRefused uint64 `json:"handshakes_refused"`
	// ClosedSilent, ClosedOverfull, ClosedInvalid and Replaced count closed links
	// by reason: no data within the timeout, full queue, invalid frame, newer link.
	ClosedSilent   uint64 `json:"closed_silent"`
	ClosedOverfull uint64 `json:"closed_overfull"`
	ClosedInvalid  uint64 `json:"closed_invalid"`
	Replaced       uint64 `json:"replaced"`
}

// Snapshot returns the current values.
func (c *Counters) Snapshot() Snapshot {
	return Snapshot{
		Links:             c.openLinks.Load(),
		BytesIn:           byKind(&c.in),
		BytesOut:          byKind(&c.out),
		FramesIn:          c.framesIn.Load(),
		FramesOut:         c.framesOut.Load(),
		Dials:             c.dials.Load(),
		DialFailures:      c.dialFailures.Load(),
		HandshakesRefused: c.handshakesRefused.Load(),
		ClosedSilent:      c.timedOut.Load(),
		ClosedOverfull:    c.queueFull.Load(),
		ClosedInvalid:     c.invalid.Load(),
		Replaced:          c.replaced.Load(),
	}
}

// String returns the snapshot as JSON, as expvar.Var requires.
func (c *Counters) String() string {
	data, err := json.Marshal(c.Snapshot())
	if err != nil {
		return "{}"
	}
	return string(data)
}

func byKind(counts *[kindCount]atomic.Uint64) map[string]uint64 {
	out := make(map[string]uint64, kindCount)
	for kind := range kindCount {
		if n := counts[kind].Load(); n > 0 {
			out[kind.String()] = n
		}
	}
	return out
}

// Sizes of WebSocket frame headers in bytes, for payloads below 126 bytes, below 64 KiB and
// above, and of the mask of a client's frames.
const (
	shortHeader  = 2
	mediumHeader = 4
	longHeader   = 10
	maskBytes    = 4
)

// frameOverhead returns the size of the WebSocket header of a frame.
func frameOverhead(payload int, masked bool) int {
	n := longHeader
	switch {
	case payload < 126:
		n = shortHeader
	case payload < 1<<16:
		n = mediumHeader
	}
	if masked {
		n += maskBytes
	}
	return n
}

// countFrame adds one frame to the counters of one direction. A frame with messages of
// several kinds is encoded again kind by kind to attribute its bytes; the size of a
// compressed frame is divided in proportion.
func countFrame(counts *[kindCount]atomic.Uint64, env *wire.Envelope, payload int, masked bool) {
	counts[KindFraming].Add(uint64(frameOverhead(payload, masked)))
	messages := splitMessages(env)
	if len(messages) == 1 {
		counts[messages[0].kind].Add(uint64(payload))
		return
	}
	sizes, sum := make([]int, len(messages)), 0
	for i, p := range messages {
		if data, err := Encode(&p.env); err == nil {
			// The one-byte map header belongs to the frame.
			sizes[i] = len(data) - 1
			sum += sizes[i]
		}
	}
	share := min(1, float64(payload)/float64(max(1, sum)))
	for i, p := range messages {
		counts[p.kind].Add(uint64(share * float64(sizes[i])))
	}
}
