// Package accounting writes what happened to each request as JSON lines and
// counts it in expvar variables. Instances keep nothing, so these lines are the
// only source of the reports.
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
	// queueLength is the number of lines that may wait for standard output.
	queueLength = 4096
	// bufferBytes is the size of the write buffer.
	bufferBytes = 64 << 10
	// lostMessage marks the lines that tell of lost marks and decisions.
	lostMessage = "accounting_lost"
)

// Writer writes accounting records. Start and end lines wait for room in the
// queue, since the report would be wrong without them. Marks and decisions do
// not wait: when standard output stalls they are lost, counted and reported by
// a line of their own. It is safe for concurrent use.
type Writer struct {
	now     func() time.Time
	queue   chan item
	core    zapcore.Core
	buffer  *bufio.Writer
	metrics *metrics
	lost    atomic.Int64
	closing sync.RWMutex
	closed  bool
	stopped chan struct{}
}

// item is a record, or a request to flush.
type item struct {
	record  accounting.Record
	flushed chan<- error
}

// NewWriter returns a Writer to out. now gives the wall-clock time of lines.
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
		queue:   make(chan item, queueLength),
		core:    zapcore.NewCore(encoder, zapcore.AddSync(buffer), zapcore.InfoLevel),
		buffer:  buffer,
		metrics: newMetrics(),
		stopped: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a record and stamps it with the time unless it has one. It
// reports whether the record was queued; only marks and decisions may be lost,
// and any record after Close.
func (w *Writer) Write(record accounting.Record) bool {
	w.closing.RLock()
	defer w.closing.RUnlock()
	if record.Ts == 0 {
		record.Ts = seconds(w.now())
	}
	if w.closed {
		w.lose()
		return false
	}
	if record.Kind == accounting.RecordKindStart || record.Kind == accounting.RecordKindEnd {
		w.queue <- item{record: record}
		return true
	}
	select {
	case w.queue <- item{record: record}:
		return true
	default:
		w.lose()
		return false
	}
}

// Flush returns when all records queued before it are written.
func (w *Writer) Flush() error {
	w.closing.RLock()
	defer w.closing.RUnlock()
	if w.closed {
		return nil
	}
	flushed := make(chan error, 1)
	w.queue <- item{flushed: flushed}
	return <-flushed
}

// Close writes the queued records and stops the writer.
func (w *Writer) Close() error {
	w.closing.Lock()
	if w.closed {
		w.closing.Unlock()
		return nil
	}
	w.closed = true
	close(w.queue)
	w.closing.Unlock()
	<-w.stopped
	if lost := w.lost.Swap(0); lost > 0 {
		w.count(w.writeLost(lost))
	}
	return w.flush()
}

// Vars returns the counters and gauges, to be published by expvar.
func (w *Writer) Vars() *expvar.Map {
	return w.metrics.vars
}

func (w *Writer) lose() {
	w.lost.Add(1)
	w.metrics.lost.Add(1)
}

// run writes lines until the queue is closed. It flushes whenever the queue is
// empty, so that a line waits for no later one.
func (w *Writer) run() {
	defer close(w.stopped)
	for it := range w.queue {
		w.writeItem(it)
		if len(w.queue) == 0 {
			w.count(w.flush())
		}
	}
}

func (w *Writer) writeItem(it item) {
	if it.flushed != nil {
		it.flushed <- w.flush()
		return
	}
	if lost := w.lost.Swap(0); lost > 0 {
		w.count(w.writeLost(lost))
	}
	w.metrics.observe(&it.record)
	entry := zapcore.Entry{Time: wallTime(it.record.Ts), Message: message}
	w.count(w.core.Write(entry, []zapcore.Field{zap.Inline((*fields)(&it.record))}))
}

func (w *Writer) writeLost(lines int64) error {
	entry := zapcore.Entry{Time: w.now(), Message: lostMessage}
	return w.core.Write(entry, []zapcore.Field{zap.Int64("lines", lines)})
}

func (w *Writer) flush() error {
	return w.buffer.Flush()
}

// count keeps a failed write from being silent.
func (w *Writer) count(err error) {
	if err != nil {
		w.metrics.writeErrors.Add(1)
	}
}

func seconds(t time.Time) float64 {
	return float64(t.UnixNano()) / float64(time.Second)
}

func wallTime(ts float64) time.Time {
	whole, part := math.Modf(ts)
	return time.Unix(int64(whole), int64(part*float64(time.Second)))
}
