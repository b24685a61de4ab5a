package sched

import (
	"testing"
	"time"

	"basilrudder/internal/verdict"
)

func TestHigherTierIsServedFirst(t *testing.T) {
	f := newFixture(t, 1, 1, Default())
	running := f.submit(2, "ann")
	low := f.submit(2, "ann")
	middle := f.submit(1, "ann")
	f.now = f.now.Add(100 * time.Millisecond)
	f.finish(running, 10)
	f.mustGrant(middle)
	if _, ok := f.granted[low]; ok {
		t.Error("the lower tier got a slot before the higher one")
	}
}

func TestSubmittedTwiceIsGrantedOnce(t *testing.T) {
	f := newFixture(t, 1, 2, Default())
	seq := f.submit(0, "ann")
	first := f.mustGrant(seq)
	class := f.cat.Classes["c0"]
	again := f.g.Submit(f.now, Demand{Ticket: first.Ticket, Class: class, Customer: f.cat.Customers["ann"]}, nil)
	if len(again) != 1 || again[0].Engine != first.Engine || f.g.Stats().Held != 1 {
		t.Errorf("second submit: %+v, held %d", again, f.g.Stats().Held)
	}
}

func TestUnknownTargetIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, 1, 1, Default())
	class := f.cat.Classes["c0"]
	out := f.g.Submit(f.now, Demand{Ticket: Ticket{"h", 1}, Class: class, Customer: f.cat.Customers["ann"], Target: "other"}, nil)
	if len(out) != 1 || out[0].Granted || out[0].Reason != verdict.ReasonNoServer || out[0].RetryAfter <= 0 {
		t.Errorf("decision: %+v", out)
	}
}

func TestWithdrawnRequestLeavesTheQueue(t *testing.T) {
	f := newFixture(t, 1, 1, Default())
	running := f.submit(1, "ann")
	gone := f.submit(1, "ann")
	f.take(f.g.Withdraw(f.now, Ticket{"h", gone}, nil))
	f.now = f.now.Add(50 * time.Millisecond)
	f.finish(running, 5)
	if len(f.granted) != 1 || f.g.Stats().Waiting != 0 || f.g.Stats().Held != 0 {
		t.Errorf("granted %d, stats %+v", len(f.granted), f.g.Stats())
	}
}

func TestRequestThatWouldBeLateIsRefusedWithRetryAfter(t *testing.T) {
	f := newFixture(t, 1, 1, Default())
	f.train(0, time.Second, 100)
	f.submit(0, "ann")
	f.submit(0, "ann")
	last := f.submit(0, "ann")
	d, ok := f.refused[last]
	if !ok || d.Reason != verdict.ReasonOverloaded || d.RetryAfter <= 0 {
		t.Errorf("third request of 1 s each with a deadline of 2 s was not refused with Retry-After: %+v", d)
	}
}
