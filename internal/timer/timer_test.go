package timer

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"basilrudder/internal/monotime"
)

// Guards against crashes of the race detector when goroutines of a bubble read late timers.
func TestLateReadersOfOneBubble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const readers, rounds = 64, 500
		var group sync.WaitGroup
		for range readers {
			group.Go(func() {
				ticker := NewTicker(time.Millisecond)
				defer ticker.Stop()
				for range rounds {
					timer := New(time.Millisecond)
					time.Sleep(3 * time.Millisecond)
					for _, late := range []<-chan struct{}{timer.C, ticker.C} {
						select {
						case <-late:
						default:
							t.Error("has not fired")
						}
					}
				}
			})
		}
		group.Wait()
	})
}

// Guards against timers of package time, which crash the race detector when read late.
func TestNoTimersOfPackageTime(t *testing.T) {
	names := []string{"time.New" + "Timer(", "time.New" + "Ticker(", "time.Af" + "ter(", "time.Ti" + "ck("}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, name := range names {
			if bytes.Contains(text, []byte(name)) {
				t.Errorf("%s contains %s", path, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
}

func TestTimerFiresOnceAtItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		timer := New(time.Second)
		<-timer.C
		if got := time.Since(began); got != time.Second {
			t.Errorf("fired after %v", got)
		}
		if Sleep(time.Hour, timer.C) == false {
			t.Error("fired twice")
		}
	})
}

// Guards against a value of an earlier setting that is received after Reset or Stop.
func TestNoValueOfAnEarlierSetting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		timer := New(time.Second)
		time.Sleep(2 * time.Second)
		timer.Reset(5 * time.Second)
		<-timer.C
		if got := time.Since(began); got != 7*time.Second {
			t.Errorf("fired after %v, want 7s", got)
		}
		timer.Reset(time.Second)
		time.Sleep(2 * time.Second)
		timer.Stop()
		if !Sleep(time.Hour, timer.C) {
			t.Error("received a value after Stop")
		}
		timer.fire(timer.setting - 1)
		if len(timer.C) != 0 {
			t.Error("a function started for an earlier setting fired")
		}
	})
}

func TestStoppedTimerStartsWithReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer := NewStopped()
		if !Sleep(time.Hour, timer.C) {
			t.Fatal("fired before Reset")
		}
		timer.Reset(0)
		<-timer.C
	})
}

func TestSleepIsCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		canceled := make(chan struct{})
		time.AfterFunc(time.Second, func() { close(canceled) })
		began := time.Now()
		if Sleep(time.Minute, canceled) {
			t.Error("slept in full")
		}
		if got := time.Since(began); got != time.Second {
			t.Errorf("slept for %v", got)
		}
	})
}

// Guards against ticks that drift or pile up while the reader is late.
func TestTicksKeepTheirIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ticker := NewTicker(time.Second)
		<-ticker.C
		time.Sleep(3500 * time.Millisecond)
		<-ticker.C
		if got := time.Since(began); got != 4500*time.Millisecond {
			t.Errorf("late tick received after %v", got)
		}
		<-ticker.C
		if got := time.Since(began); got != 5*time.Second {
			t.Errorf("tick after %v, want 5s", got)
		}
		ticker.Stop()
		if !Sleep(time.Hour, ticker.C) {
			t.Error("ticked after Stop")
		}
	})
}

func TestNextTickSkipsMissedOnes(t *testing.T) {
	for _, c := range []struct{ now, want time.Duration }{{10, 20}, {19, 20}, {20, 30}, {45, 50}, {9, 20}} {
		if got := nextTick(monotime.Instant(10), monotime.Instant(c.now), 10); got != monotime.Instant(c.want) {
			t.Errorf("next tick at %v is %v, want %v", c.now, got, c.want)
		}
	}
}
