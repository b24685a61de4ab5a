// Package eventlog writes structured log lines without blocking its callers. Lines pass
// through a bounded queue. Lines that do not fit are dropped and counted, and a separate
// line reports how many were lost.
package eventlog

import (
	"expvar"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueCapacity is the number of lines that may wait for the output: about five seconds
	// of lines at linesPerSecond. Lines are lost in any longer stall of the output.
	queueCapacity = 2048
	// linesPerSecond limits the volume of the log. A line of a request is about 400 bytes,
	// so this is at most 160 KB per second. With a lower limit more lines are lost.
	linesPerSecond = 400
	// burstLines is the number of lines that may be written at once beyond the rate. With
	// fewer, short bursts lose lines although the mean rate is within the limit.
	burstLines = 800
)

// Sink is a zapcore.WriteSyncer that queues lines for the output. Close must be called to
// write the last lines.
type Sink struct {
	out            io.Writer
	queue          chan []byte
	unreportedLost atomic.Int64
	lines          expvar.Int
	lostTotal      expvar.Int
	writeErrors    expvar.Int
	tokens         float64
	lastRefill     time.Time
	stopped        chan struct{}
}

// New returns a logger with the given level and the Sink that it writes to.
func New(out io.Writer, level zapcore.Level) (*zap.Logger, *Sink) {
	s := &Sink{out: out, queue: make(chan []byte, queueCapacity), tokens: burstLines, stopped: make(chan struct{})}
	go s.run()
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), s, level)
	return zap.New(core), s
}

// Write queues a copy of one line. It never blocks: if the queue is full, the line is
// dropped and counted. It never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.countLost()
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, because the Sink holds no buffer
// besides the queue.
func (s *Sink) Sync() error { return nil }

// Close writes the queued lines. Write must not be called afterwards; it would panic.
func (s *Sink) Close() {
	close(s.queue)
	<-s.stopped
}

// Vars returns the counters for publication by expvar.
func (s *Sink) Vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Set("lines", &s.lines)
	vars.Set("lost", &s.lostTotal)
	vars.Set("write_errors", &s.writeErrors)
	return vars
}

func (s *Sink) countLost() {
	s.unreportedLost.Add(1)
	s.lostTotal.Add(1)
}

func (s *Sink) run() {
	defer close(s.stopped)
	for line := range s.queue {
		if !s.admit(time.Now()) {
			s.countLost()
			continue
		}
		if lost := s.unreportedLost.Swap(0); lost > 0 {
			s.write([]byte(`{"level":"warn","msg":"log_lines_lost","lines":` + strconv.FormatInt(lost, 10) + "}\n"))
		}
		s.write(line)
	}
}

// admit reports whether the token bucket of the line rate allows one more line.
func (s *Sink) admit(now time.Time) bool {
	if !s.lastRefill.IsZero() {
		s.tokens = min(burstLines, s.tokens+now.Sub(s.lastRefill).Seconds()*linesPerSecond)
	}
	s.lastRefill = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

func (s *Sink) write(line []byte) {
	s.lines.Add(1)
	if _, err := s.out.Write(line); err != nil {
		// The log itself is failing, so the error is only counted.
		s.writeErrors.Add(1)
	}
}

// Cause returns a field "cause" with the text of err, or a skipped field if err is nil.
// zap.Error would add the error's stack, which can be a hundred lines long.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("cause", err.Error())
}
