package main

import (
	"testing"
	"time"
)

// Guards against streams that callers take up at another version after all instances were killed.
func TestStreamsTakenUpAfterAMassKillHoldOneVersion(t *testing.T) {
	const (
		timeout    = 2 * time.Second
		minTakenUp = 10
	)
	binary, err := build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	r, err := newRejoin(binary, 1, massKills[0], timeout).run(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if len(r.broken) > 0 || r.before.streams < minTakenUp || r.after.finished == 0 {
		t.Error(r)
	}
	t.Log(r)
}

// Guards against a play that misses streams of two versions, or has them by its own fault.
func TestStreamsOfTwoVersionsAreCountedAfterAMassKill(t *testing.T) {
	killedAt := time.Now()
	p := newRejoin("", 1, massKills[0], time.Second)
	p.killedAt, p.endedAt, p.fleet = killedAt, killedAt, &fleet{}
	for _, begun := range []time.Duration{-time.Second, time.Second} {
		for _, software := range []map[string]bool{{oldSoftware: true}, {oldSoftware: true, newSoftware: true}} {
			p.streams = append(p.streams, &takenUp{stream: &stream{software: software}, begun: killedAt.Add(begun), tries: 1})
		}
	}
	r := p.report(nil)
	if r.before.streams != 2 || r.before.mixed != 1 || r.after.streams != 2 || r.after.mixed != 1 || len(r.broken) != 1 {
		t.Error(r)
	}
}
