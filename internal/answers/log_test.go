package answers

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/verdict"
)

func token(offset int, finish string) engineapi.TokenEvent {
	return engineapi.TokenEvent{Offset: offset, Text: strconv.Itoa(offset), Finish: finish}
}

// Guards against readers that get a token twice or miss one. After a broken stream is
// resumed, the engine may repeat tokens or skip some: the log drops repeated tokens and
// refuses a gap.
func TestAppendDropsRepeatsAndRefusesGaps(t *testing.T) {
	log := NewLog(0)
	for _, offset := range []int{0, 1, 0, 1, 2} {
		if err := log.Append(token(offset, "")); err != nil {
			t.Fatalf("offset %d: %v", offset, err)
		}
	}
	if err := log.Append(token(5, "")); !errors.Is(err, ErrGap) {
		t.Errorf("Append after a gap: %v, want ErrGap", err)
	}
	events, _, _ := log.Next(t.Context(), 1)
	want := []engineapi.TokenEvent{token(1, ""), token(2, "")}
	if diff := cmp.Diff(want, events); diff != "" {
		t.Error(diff)
	}
}

func TestOversizedAnswerIsRefused(t *testing.T) {
	log := NewLog(2 * (eventOverhead + 1))
	for offset := range 2 {
		if err := log.Append(token(offset, "")); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Append(token(2, "")); !errors.Is(err, ErrFull) {
		t.Errorf("token beyond the limit: %v, want ErrFull", err)
	}
	if err := log.SetService(ServiceAnswer{Body: make([]byte, 1000)}); !errors.Is(err, ErrFull) {
		t.Errorf("service answer beyond the limit: %v, want ErrFull", err)
	}
}

// Guards against delivering a truncated answer as a complete one: the upstream side closes
// the log without an error although the token with the finish reason never arrived.
func TestCloseWithoutTheLastTokenIsAnError(t *testing.T) {
	log := NewLog(0)
	_ = log.Append(token(0, ""))
	log.Close(nil)
	_, done, err := log.Next(t.Context(), 0)
	if !done || err == nil || err.Verdict != verdict.Ran {
		t.Errorf("done %v, error %v", done, err)
	}
}

func TestSecondCloseIsIgnored(t *testing.T) {
	log := NewLog(0)
	_ = log.Append(token(0, "stop"))
	if !log.Close(nil) {
		t.Error("the first Close reported false")
	}
	if log.Close(verdict.New(verdict.Ran, verdict.ReasonInternal, "late")) {
		t.Error("the second Close reported true")
	}
	if state, err := log.Status(); state != Finished || err != nil {
		t.Errorf("state %v, error %v", state, err)
	}
	if err := log.Append(token(1, "")); !errors.Is(err, ErrClosed) {
		t.Errorf("Append after Close: %v", err)
	}
}

func TestReadersFollowFromAnyOffset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tokens = 100
		log := NewLog(0)
		var wg sync.WaitGroup
		for start := range 5 {
			wg.Go(func() {
				next := start
				for {
					events, done, err := log.Next(t.Context(), next)
					if err != nil {
						t.Errorf("reader from %d: %v", start, err)
					}
					for _, event := range events {
						if event.Offset != next {
							t.Errorf("reader from %d: offset %d, want %d", start, event.Offset, next)
						}
						next++
					}
					if done {
						break
					}
				}
				if next != tokens {
					t.Errorf("reader from %d stopped at %d", start, next)
				}
			})
		}
		for offset := range tokens - 1 {
			synctest.Wait()
			_ = log.Append(token(offset, ""))
		}
		_ = log.Append(token(tokens-1, "stop"))
		log.Close(nil)
		wg.Wait()
	})
}

func TestWaitIsNotWokenByTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := NewLog(0)
		ended := make(chan *verdict.Error, 1)
		go func() { ended <- log.Wait(t.Context()) }()
		synctest.Wait()
		_ = log.Append(token(0, "stop"))
		synctest.Wait()
		if len(ended) > 0 || len(log.waiters) != 1 {
			t.Error("a token woke a reader that waits for the end of the answer")
		}
		log.Close(nil)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// Guards against a reader that blocks after its caller disconnected. It must return
// without a further token, and the other readers must continue to receive the answer.
func TestNextReturnsWhenItsReaderLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := NewLog(0)
		ctx, cancel := context.WithCancel(t.Context())
		left := make(chan *verdict.Error, 1)
		go func() {
			_, _, err := log.Next(ctx, 0)
			left <- err
		}()
		stayed := make(chan int, 1)
		go func() {
			events, _, _ := log.Next(t.Context(), 0)
			stayed <- len(events)
		}()
		synctest.Wait()
		cancel()
		if err := <-left; err == nil || err.Reason != verdict.ReasonCallerGone {
			t.Errorf("the reader that left got %v", err)
		}
		_ = log.Append(token(0, ""))
		if n := <-stayed; n != 1 {
			t.Errorf("the reader that stayed got %d events", n)
		}
	})
}

func TestServiceAnswerIsWhole(t *testing.T) {
	log := NewLog(0)
	want := ServiceAnswer{Status: 200, Headers: []Header{{Name: "Content-Type", Value: "text/plain"}}, Body: []byte("ok")}
	if err := log.SetService(want); err != nil {
		t.Fatal(err)
	}
	log.Close(nil)
	if err := log.Wait(t.Context()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&want, log.Service()); diff != "" {
		t.Error(diff)
	}
}

func BenchmarkAppendAndFollow(b *testing.B) {
	b.ReportAllocs()
	log := NewLog(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for offset := 0; ; {
			events, end, _ := log.Next(context.Background(), offset)
			offset += len(events)
			if end {
				return
			}
		}
	}()
	event := engineapi.TokenEvent{Text: "token"}
	for i := 0; b.Loop(); i++ {
		event.Offset = i
		_ = log.Append(event)
	}
	log.Close(verdict.New(verdict.Ran, verdict.ReasonInternal, "end"))
	<-done
}
