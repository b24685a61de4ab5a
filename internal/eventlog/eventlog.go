// Package eventlog writes structured log lines without ever holding up its
// callers. Lines go through a bounded queue; what does not fit is counted, and a
// line of its own tells how many were lost.
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
	// queueCapacity is the number of lines that may wait for the output: about
	// five seconds of lines at linesPerSecond.
	queueCapacity = 2048
	// linesPerSecond bounds the volume. A line of a request is some 400 bytes,
	// so this is at most 160 KB a second.
	linesPerSecond = 400
	// burstLines may be written at once beyond the rate.
	burstLines = 800
)

// Sink is the bounded way to the output. Close must be called to write the last
// lines.
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

// New returns a logger at a level and the Sink that it writes to.
func New(out io.Writer, level zapcore.Level) (*zap.Logger, *Sink) {
	s := &Sink{out: out, queue: make(chan []byte, queueCapacity), tokens: burstLines, stopped: make(chan struct{})}
	go s.run()
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), s, level)
	return zap.New(core), s
}

// Write queues one line. It never blocks: when the output stalls the line is
// lost and counted.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.countLost()
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; lines are written as they come.
func (s *Sink) Sync() error { return nil }

// Close writes what is queued. No line may be written afterwards.
func (s *Sink) Close() {
	close(s.queue)
	<-s.stopped
}

// Vars returns the counters, to be published by expvar.
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

// admit bounds the rate of lines by a token bucket.
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
		// There is nowhere left to log it; the counter shows it.
		s.writeErrors.Add(1)
	}
}

// Cause is a field with the text of an error; nothing for nil. zap's own field
// would add the error's stack, of a hundred lines at times.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("cause", err.Error())
}
