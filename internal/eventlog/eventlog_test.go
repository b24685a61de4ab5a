package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap/zapcore"
)

// stalledOutput blocks writes until release is closed.
type stalledOutput struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *stalledOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(p)
}

// Guards against blocked callers and unreported losses when the reader of the log stops
// reading: logging must not block, and once output continues a line must report the loss.
func TestStalledOutputReportsLostLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalledOutput{release: make(chan struct{})}
		log, sink := New(out, zapcore.InfoLevel)
		for range queueCapacity + 100 {
			log.Info("line")
		}
		close(out.release)
		time.Sleep(time.Minute)
		log.Info("after")
		sink.Close()
		text := out.String()
		if !strings.Contains(text, "log_lines_lost") || !strings.Contains(text, `"msg":"after"`) {
			t.Errorf("no line reports the loss, or the line after it is missing, in %d bytes", len(text))
		}
	})
}

func TestLineRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log, sink := New(&out, zapcore.InfoLevel)
		for range 10 {
			for range 1000 {
				log.Info("line")
			}
			time.Sleep(time.Second)
		}
		sink.Close()
		if lines := strings.Count(out.String(), `"msg":"line"`); lines > burstLines+10*linesPerSecond {
			t.Errorf("%d lines in ten seconds", lines)
		}
	})
}
