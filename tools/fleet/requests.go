package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"basilrudder/internal/schema/callerapi"
)

const (
	// giveUpAfter is how long a caller tries to have one request answered.
	giveUpAfter = 40 * time.Second
	retryPause  = 100 * time.Millisecond
	mostPause   = 2 * time.Second
)

// told is what a caller was last told of one request id.
type told struct {
	id      string
	kind    answerKind
	verdict callerapi.Verdict
	reason  string
	text    string
}

// story is one request from its caller's side: the ids it was sent under and
// what was said of each.
type story struct {
	work
	began time.Time
	ids   []told
	whole bool
	// why is the last thing that went wrong, for requests that were lost.
	why string
}

// run sends one request until it is answered, it may have run without an answer
// to be had, or the caller gives up.
func (c *caller) run(ctx context.Context, w work, nonce func() string) *story {
	s := &story{work: w, began: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, giveUpAfter)
	defer cancel()
	for turn := 0; ctx.Err() == nil; turn++ {
		entries := c.instances(ctx)
		if len(entries) == 0 {
			s.why = "no instance answers the directory"
			_ = sleep(ctx, retryPause)
			continue
		}
		at := turn % len(entries)
		last := c.settle(ctx, s, entries, at, entries[at].IDPrefix+nonce())
		s.ids = append(s.ids, last)
		if last.kind == answerWhole {
			s.whole = true
			return s
		}
		if !s.mayTryAgain(last) {
			return s
		}
		if at == len(entries)-1 {
			_ = sleep(ctx, retryPause)
		}
	}
	return s
}

// mayTryAgain reports whether a new id may be used after what was said of the
// last one: always when it did not run, else for idempotent work only.
func (s *story) mayTryAgain(last told) bool {
	didNotRun := last.kind == answerUnsent || last.verdict == callerapi.VerdictNotRun
	return didNotRun || s.idempotent
}

// settle sends a request under one id, and again under the same id through other
// instances while its fate is not known.
func (c *caller) settle(ctx context.Context, s *story, entries []callerapi.DirectoryInstance, at int, id string) told {
	out := told{id: id, kind: answerUnsent}
	for turn := 0; ctx.Err() == nil; turn++ {
		a := c.send(ctx, entries[(at+turn)%len(entries)].Address, id, s.work)
		switch a.kind {
		case answerWhole:
			out.kind, out.text = answerWhole, a.text
			return out
		case answerUnsent:
			s.why = "connect: " + a.err.Error()
			if turn == 0 {
				return out
			}
		case answerLost:
			s.why = "lost: " + a.err.Error()
			out.kind = answerLost
		case answerRefused:
			s.why = fmt.Sprintf("%s, %s: %s", a.refusal.Verdict, a.refusal.Reason, a.refusal.Message)
			out.kind, out.verdict, out.reason = answerRefused, a.refusal.Verdict, a.refusal.Reason
			_ = sleep(ctx, pauseAfter(a.refusal))
			if final(a.refusal) {
				return out
			}
		}
		_ = sleep(ctx, retryPause)
	}
	return out
}

// final reports whether asking again under the same id can bring nothing more.
func final(refusal callerapi.RefusalError) bool {
	if refusal.Verdict == callerapi.VerdictNotRun {
		return true
	}
	return refusal.RetryAfterMS == 0
}

func pauseAfter(refusal callerapi.RefusalError) time.Duration {
	if refusal.Reason == "draining" {
		return 0 // another instance takes it now
	}
	return min(time.Duration(refusal.RetryAfterMS)*time.Millisecond, mostPause)
}

// crowd sends requests of several customers at a steady rate.
type crowd struct {
	callers    []*caller
	rate       float64
	served     int // models that some server holds
	mostTokens int
	seed       uint64
	count      atomic.Uint64

	mu      sync.Mutex
	stories []*story
}

func newCrowd(s shape, rate float64, mostTokens int, seed uint64, entries func() []string) *crowd {
	c := &crowd{rate: rate, served: s.servedModels(), mostTokens: mostTokens, seed: seed}
	for i := range s.Customers {
		c.callers = append(c.callers, newCaller(customerName(i), entries))
	}
	return c
}

// during sends requests while do runs, waits for their answers, and returns
// their stories.
func (c *crowd) during(ctx context.Context, do func() error) ([]*story, error) {
	c.mu.Lock()
	c.stories = nil
	c.mu.Unlock()
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.feed(ctx, stop)
	}()
	err := do()
	close(stop)
	<-done
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stories, err
}

func (c *crowd) feed(ctx context.Context, stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	rng := rand.New(rand.NewPCG(c.seed, c.count.Load()))
	for {
		wait := time.Duration(rng.ExpFloat64() / c.rate * float64(time.Second))
		select {
		case <-stop:
			return
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		who := c.callers[rng.IntN(len(c.callers))]
		w := drawWork(rng, c.served, c.mostTokens)
		group.Go(func() {
			s := who.run(ctx, w, c.nonce)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.stories = append(c.stories, s)
		})
	}
}

func (c *crowd) nonce() string {
	return fmt.Sprintf("n%d", c.count.Add(1))
}
