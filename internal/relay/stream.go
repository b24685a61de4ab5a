package relay

import (
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/eventstream"
	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
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
	// maxPartialEvent bounds what is held of an event of a stream that may be resumed, in
	// bytes. A longer event is passed on as it arrives.
	maxPartialEvent = 64 << 10
	// maxEvent bounds an event, in bytes. A longer one is no event: its server is given up
	// before it uses the caller's time and link.
	maxEvent = 1 << 20
)

// delivery tracks what the caller has received of a stream.
type delivery struct {
	started bool
	// lastID is the id of the last event delivered completely.
	lastID string
	// partial holds the start of an event that has not arrived completely.
	partial []byte
	// split means that a part of an event longer than maxPartialEvent was delivered. The
	// stream can't go on at another server then.
	split bool
	// lastAt is when the last bytes were passed on.
	lastAt     monotime.Instant
	longestGap time.Duration
}

func (d *delivery) begun() bool { return d.started }

// resumable reports whether what was delivered can be continued by another server: it ends
// with an event, and an id tells which.
func (d *delivery) resumable() bool { return !d.started || !d.split && d.lastID != "" }

// Errors of streams that their servers ended without a network error.
var (
	errInsideEvent = errors.New("stream ended inside an event")
	errNoEvent     = errors.New("server closed its connection before the first event")
	errEventLength = errors.Wrap(netconn.ErrTooLong, "event")
	// errUnknownEnd is that of a server that marks the end less clearly than the caller was
	// promised by the framing of an earlier server.
	errUnknownEnd = errors.New("server closed its connection, which does not tell whether the stream was whole")
)

// relayStream passes events on as they arrive. The headers go out with the first one, so
// that a server that fails before it can still be replaced.
func (f *forwarder) relayStream(e *exchange, run int) *verdict.Error {
	f.stream.partial = nil
	buffer := make([]byte, copyBufferSize)
	var scanner eventstream.Scanner
	scan := isEventStream(e.resp)
	open := 0 // bytes of the event that is open
	for {
		if err := f.awaitEvents(e, run); err != nil {
			e.abandon()
			return verdict.Wrap(verdict.Ran, verdict.ReasonUpstreamLost, err)
		}
		n, err := e.resp.Body.Read(buffer)
		if n > 0 {
			closed, events := n, 0
			if scan {
				closed, events = scanner.Scan(buffer[:n])
			}
			f.reportEvents(run, n, events)
			f.reportGoesOn()
			f.received.eventOpen = scanner.Open()
			if open = openBytes(open, n, closed); open > maxEvent {
				return f.streamLost(e, errEventLength)
			}
			if problem := f.deliver(e, buffer[:n], closed); problem != nil {
				e.abandon()
				return problem
			}
		}
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return f.streamLost(e, err)
		case scanner.Open():
			return f.streamLost(e, errInsideEvent)
		case f.received.framing != framingClose:
			return f.endStream(e, run)
		case scan && !f.stream.begun() && f.request.ResumeAfter == "":
			return f.streamLost(e, errNoEvent)
		case f.stream.begun() && f.framing != framingClose:
			e.abandon()
			return verdict.Wrap(verdict.Ran, verdict.ReasonUpstreamLost, errUnknownEnd)
		default:
			if err := f.checkEnd(e); err != nil {
				return f.streamLost(e, err)
			}
			return f.endStream(e, run)
		}
	}
}

// isEventStream reports whether an answer holds events, as one without a type does on a route
// of streams.
func isEventStream(resp *http.Response) bool {
	kind := resp.Header.Get("Content-Type")
	media, _, err := mime.ParseMediaType(kind)
	return kind == "" || err == nil && media == "text/event-stream"
}

// openBytes returns the length of the open event after n bytes more, of which the first
// closed ones are outside of it.
func openBytes(open, n, closed int) int {
	if closed > 0 {
		return n - closed
	}
	return open + n
}

// reportEvents reports bytes of a stream and the events that ended in them.
func (f *forwarder) reportEvents(run, bytes, events int) {
	now := monotime.Now()
	f.reportReached()
	f.relay.answers.record(f.target.ID, now)
	if f.firstEventAt == 0 {
		f.firstEventAt = now
		f.relay.cfg.Fleet.FirstEvent(run, now)
	}
	f.received.bytes += int64(bytes)
	f.relay.cfg.Fleet.Events(run, events, now)
}

// streamLost ends the exchange of a stream that its server broke off.
func (f *forwarder) streamLost(e *exchange, err error) *verdict.Error {
	e.abandon()
	f.observe(placement.Failed)
	return verdict.Wrap(verdict.Ran, reasonOf(err), err)
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

// deliver passes on bytes of a stream, of which the first closed ones are outside the event
// that is open after them. Of a stream that may be resumed on another server only complete
// events are delivered, because a server can fail in the middle of one.
func (f *forwarder) deliver(e *exchange, data []byte, closed int) *verdict.Error {
	if f.route.Resumable {
		data = f.completeEvents(data, closed)
	}
	if len(data) == 0 {
		return nil
	}
	now := monotime.Now()
	if !f.stream.started {
		f.recordVersion()
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
	f.sendHead(e.resp.StatusCode)
}

// completeEvents returns the events that are complete with the first closed bytes of data,
// and keeps the rest for the next call, up to maxPartialEvent.
func (f *forwarder) completeEvents(data []byte, closed int) []byte {
	if closed == 0 && len(f.stream.partial)+len(data) <= maxPartialEvent {
		f.stream.partial = append(f.stream.partial, data...)
		return nil
	}
	all := append(f.stream.partial, data...)
	end := len(f.stream.partial) + closed
	f.stream.partial = nil
	if closed == 0 {
		f.stream.split = true
		return all
	}
	if id := f.relay.cfg.Protocol.LastEventID(all[:end]); id != "" {
		f.stream.lastID = id
	}
	if end < len(all) {
		f.stream.partial = append([]byte(nil), all[end:]...)
	}
	return all[:end]
}

// endStream ends the caller's stream after the server ended its own between two events.
func (f *forwarder) endStream(e *exchange, run int) *verdict.Error {
	f.received.ended = true
	f.relay.cfg.Fleet.Completed(run, monotime.Now())
	f.reportSurvived(e, f.firstEventAt)
	f.checkUnmarkedEnd(e, f.firstEventAt)
	f.observe(placement.Served)
	if !f.stream.started {
		f.startStream(e)
	}
	// finish may wait for a long request to be written; the caller does not.
	problem := f.endAnswer()
	e.finish()
	return problem
}
