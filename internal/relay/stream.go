package relay

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/eventstream"
	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/verdict"
)

const (
	// resumeTimeoutGaps is how long a stream that may be resumed on another server can go
	// without an event, as a multiple of its MaxGap, and at least minResumeTimeout.
	// Callers give up after eight times that gap, or two seconds; the rest is left for
	// the other server.
	resumeTimeoutGaps = 4
	minResumeTimeout  = 700 * time.Millisecond
)

// delivery tracks what the caller has received of a stream.
type delivery struct {
	started bool
	// lastID is the id of the last event delivered completely.
	lastID string
	// partialEvent holds the start of an event that has not arrived completely.
	partialEvent []byte
	// lastAt is when the last bytes were passed on.
	lastAt     monotime.Instant
	longestGap time.Duration
}

func (d *delivery) begun() bool { return d.started }

// relayStream passes events on as they arrive. The headers go out with the first one, so
// that a server that fails before it can still be replaced.
func (f *forwarder) relayStream(e *exchange, run int) *verdict.Error {
	f.stream.partialEvent = nil
	buffer := make([]byte, copyBufferSize)
	var scanner eventstream.Scanner
	first := true
	for {
		if err := f.awaitEvents(e, run); err != nil {
			e.abandon()
			return verdict.Wrap(verdict.Ran, verdict.ReasonUpstreamLost, err)
		}
		n, err := e.resp.Body.Read(buffer)
		if n > 0 {
			f.reportReached()
			if first {
				first = false
				f.firstEventAt = monotime.Now()
				f.relay.cfg.Fleet.FirstEvent(run, monotime.Now())
			}
			_, _ = scanner.Scan(buffer[:n])
			f.received.bytes, f.received.eventOpen = f.received.bytes+int64(n), scanner.Open()
			f.relay.cfg.Fleet.Events(run, bytes.Count(buffer[:n], eventEnd), monotime.Now())
			if problem := f.deliver(e, buffer[:n]); problem != nil {
				e.abandon()
				return problem
			}
		}
		if errors.Is(err, io.EOF) {
			return f.endStream(e)
		}
		if err != nil {
			e.abandon()
			f.observe(placement.Failed)
			return verdict.Wrap(verdict.Ran, reasonOf(err), err)
		}
	}
}

// awaitEvents bounds the wait for events of a stream that can be resumed on another
// server.
func (f *forwarder) awaitEvents(e *exchange, run int) error {
	if !f.route.Resumable || f.sends >= f.route.Attempts {
		return nil
	}
	timeout := max(minResumeTimeout, resumeTimeoutGaps*f.work.MaxGap)
	if f.firstEventAt == 0 && e.resp.ContentLength != 0 {
		return f.awaitBytes(e, run, max(timeout, f.responseTimeout()))
	}
	return e.conn.SetReadDeadline(earlier(time.Now().Add(timeout), f.deadline))
}

// deliver passes on bytes of a stream. Of a stream that may be resumed on another server
// only complete events are delivered, because a server can fail in the middle of one.
func (f *forwarder) deliver(e *exchange, data []byte) *verdict.Error {
	if f.route.Resumable {
		data = f.completeEvents(data)
		if len(data) == 0 {
			return nil
		}
	}
	now := monotime.Now()
	if !f.stream.started {
		f.startStream(e)
	} else {
		f.stream.longestGap = max(f.stream.longestGap, now.Sub(f.stream.lastAt))
	}
	f.stream.lastAt = now
	if _, err := f.w.Write(data); err != nil {
		return f.callerGone(err)
	}
	if err := http.NewResponseController(f.w).Flush(); err != nil {
		return f.callerGone(err)
	}
	return nil
}

// startStream sends the headers of the first server that produced an event.
func (f *forwarder) startStream(e *exchange) {
	f.stream.started = true
	f.beginAnswer(e.resp)
	f.w.WriteHeader(e.resp.StatusCode)
}

// eventEnd separates the events of a stream.
var eventEnd = []byte("\n\n")

// completeEvents returns the complete events and keeps the rest for the next call.
func (f *forwarder) completeEvents(data []byte) []byte {
	all := append(f.stream.partialEvent, data...)
	end := bytes.LastIndex(all, eventEnd)
	if end < 0 {
		f.stream.partialEvent = all
		return nil
	}
	end += len(eventEnd)
	f.stream.partialEvent = append([]byte(nil), all[end:]...)
	whole := all[:end]
	start := bytes.LastIndex(whole[:end-len(eventEnd)], eventEnd)
	if start < 0 {
		start = 0
	}
	if id := f.relay.cfg.Protocol.EventID(whole[start:]); id != "" {
		f.stream.lastID = id
	}
	return whole
}

// endStream ends the caller's stream after the server ended its own.
func (f *forwarder) endStream(e *exchange) *verdict.Error {
	f.reportSurvived()
	f.observe(placement.Served)
	if !f.stream.started {
		f.startStream(e)
	}
	if len(f.stream.partialEvent) > 0 {
		if _, err := f.w.Write(f.stream.partialEvent); err != nil {
			e.abandon()
			return f.callerGone(err)
		}
	}
	e.finish()
	return nil
}
