// Package accounting writes records of the events of each request as JSON lines and counts
// them in expvar variables. Instances store no records, so these lines are the only source
// of the reports.
package accounting

import (
	"bufio"
	"expvar"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"basilrudder/internal/schema/accounting"
)

const (
	// queueCapacity is the number of lines that may wait for standard output. With a smaller
	// queue a shorter stall loses marks and decisions and delays requests at their start and
	// end; a larger one takes more memory.
	queueCapacity = 4096
	// bufferBytes is the size of the write buffer. A smaller buffer needs more write calls
	// under load; a larger one takes more memory.
	bufferBytes = 64 << 10
	// lostMessage is the message of lines that report the number of lost records. The report
	// finds the lines by it.
	lostMessage = "accounting_lost"
)

// Writer writes accounting records. Start and end records block while the queue is full,
// because the report would be wrong without them. Marks and decisions do not block: when
// standard output stalls they are dropped and counted, and a separate line reports how many
// were lost. It is safe for concurrent use.
type Writer struct {
	now            func() time.Time
	queue          chan queueItem
	core           zapcore.Core
	buffer         *bufio.Writer
	metrics        *metrics
	unreportedLost atomic.Int64
	closeMu        sync.RWMutex
	closed         bool
	stopped        chan struct{}
}

// queueItem is a record, or a request to flush if flushed is set.
type queueItem struct {
	record  accounting.Record
	flushed chan<- error
}

// NewWriter returns a Writer to out. now returns the wall-clock time for the timestamps.
// Close must be called to write the last lines.
func NewWriter(out io.Writer, now func() time.Time) *Writer {
	buffer := bufio.NewWriterSize(out, bufferBytes)
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		MessageKey: "msg",
		TimeKey:    "ts",
		EncodeTime: zapcore.EpochTimeEncoder,
	})
	w := &Writer{
		now:     now,
		queue:   make(chan queueItem, queueCapacity),
		core:    zapcore.NewCore(encoder, zapcore.AddSync(buffer), zapcore.InfoLevel),
		buffer:  buffer,
		metrics: newMetrics(),
		stopped: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a record, and sets its timestamp if it has none. It reports whether the
// record was queued. Only marks and decisions can be lost, and any record after Close.
func (w *Writer) Write(record accounting.Record) bool {
	w.closeMu.RLock()
	defer w.closeMu.RUnlock()
	if record.Ts == 0 {
		record.Ts = unixSeconds(w.now())
	}
	if w.closed {
		w.countLost()
		return false
	}
	if record.Kind == accounting.RecordKindStart || record.Kind == accounting.RecordKindEnd {
		w.queue <- queueItem{record: record}
		return true
	}
	select {
	case w.queue <- queueItem{record: record}:
		return true
	default:
		w.countLost()
		return false
	}
}

// Flush blocks until all records queued before it are written. It returns the error of the
// write, and nil after Close.
func (w *Writer) Flush() error {
	w.closeMu.RLock()
	defer w.closeMu.RUnlock()
	if w.closed {
		return nil
	}
	flushed := make(chan error, 1)
	w.queue <- queueItem{flushed: flushed}
	return <-flushed
}

// Close writes the queued records, stops the writer and returns the error of the last
// flush.
func (w *Writer) Close() error {
	w.closeMu.Lock()
	if w.closed {
		w.closeMu.Unlock()
		return nil
	}
	w.closed = true
	close(w.queue)
	w.closeMu.Unlock()
	<-w.stopped
	if lost := w.unreportedLost.Swap(0); lost > 0 {
		w.countError(w.writeLost(lost))
	}
	return w.flush()
}

// Vars returns the counters and gauges for publication by expvar.
func (w *Writer) Vars() *expvar.Map {
	return w.metrics.vars
}

func (w *Writer) countLost() {
	w.unreportedLost.Add(1)
	w.metrics.lost.Add(1)
}

// run writes lines until the queue is closed. It flushes whenever the queue is empty, so
// no line stays in the buffer until another one arrives.
func (w *Writer) run() {
	defer close(w.stopped)
	for it := range w.queue {
		w.writeItem(it)
		if len(w.queue) == 0 {
			w.countError(w.flush())
		}
	}
}

func (w *Writer) writeItem(it queueItem) {
	if it.flushed != nil {
		it.flushed <- w.flush()
		return
	}
	if lost := w.unreportedLost.Swap(0); lost > 0 {
		w.countError(w.writeLost(lost))
	}
	w.metrics.observe(&it.record)
	entry := zapcore.Entry{Time: wallTime(it.record.Ts), Message: recordMessage}
	w.countError(w.core.Write(entry, []zapcore.Field{zap.Inline((*recordMarshaler)(&it.record))}))
}

func (w *Writer) writeLost(lines int64) error {
	entry := zapcore.Entry{Time: w.now(), Message: lostMessage}
	return w.core.Write(entry, []zapcore.Field{zap.Int64("lines", lines)})
}

func (w *Writer) flush() error {
	return w.buffer.Flush()
}

// countError counts a failed write, which is not reported in any other way.
func (w *Writer) countError(err error) {
	if err != nil {
		w.metrics.writeErrors.Add(1)
	}
}

func unixSeconds(t time.Time) float64 {
	return float64(t.UnixNano()) / float64(time.Second)
}

func wallTime(ts float64) time.Time {
	whole, part := math.Modf(ts)
	return time.Unix(int64(whole), int64(part*float64(time.Second)))
}
