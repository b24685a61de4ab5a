package main

import (
	"context"
	"sync"
	"time"

	"basilrudder/platform/standin"
)

const (
	// contactTime is how long an instance must have been left alone to be in touch.
	contactTime = 3 * time.Second
	// poisonInterval is the time between two requests that crash servers.
	poisonInterval = 150 * time.Millisecond
	// poisonDownTime is how long a server that crashed is down.
	poisonDownTime = time.Second
	// poisonEnds is the number of crashes after which at most poisonLate requests of
	// instances in touch may still reach servers, later than contactTime.
	poisonEnds, poisonLate = 5, 3
)

// poison records the crashes of servers under requests with one part in their prompts.
type poison struct {
	mu      sync.Mutex
	crashes []time.Time
	sent    []poisonRequest
	ending  sync.WaitGroup
}

type poisonRequest struct {
	attempt *attempt
	at      time.Time
	inTouch bool
}

// crashHandler returns what ends a server that runs such a request; nil if none is sent.
func (s *soak) crashHandler() func(*upstream, *standin.Server) {
	if !s.poisoned {
		return nil
	}
	return func(u *upstream, running *standin.Server) {
		s.poison.ending.Go(func() {
			s.replace(u, poisonDownTime, func(u *upstream) {
				if u.server() != running {
					return // another fault has replaced it meanwhile
				}
				s.poison.mu.Lock()
				s.poison.crashes = append(s.poison.crashes, time.Now())
				s.poison.mu.Unlock()
				_ = u.http.Close()
			})
		})
	}
}

// sendPoison sends requests that crash servers, no two alike, until the context ends.
func (s *soak) sendPoison(ctx context.Context) {
	var sending sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		c := newCaller(s.fleet, s.callers+1+n, s.seed)
		i := s.fleet.instances[n%len(s.fleet.instances)]
		a := &attempt{id: c.newID(), route: "stream", instance: i.name, poison: true}
		s.poison.sent = append(s.poison.sent, poisonRequest{attempt: a, at: time.Now(), inTouch: i.inTouch()})
		sending.Go(func() {
			c.keep(i, a)
			c.client.CloseIdleConnections()
		})
		time.Sleep(poisonInterval)
	}
	sending.Wait()
	s.poison.ending.Wait()
}

// checkPoison counts the requests that reached servers too late.
func (s *soak) checkPoison(r *report) {
	for _, p := range s.poison.sent {
		if len(s.fleet.ledger.Runs(p.attempt.id)) == 0 {
			continue
		}
		r.arrivals++
		known := len(s.poison.crashes) >= poisonEnds && p.at.Sub(s.poison.crashes[poisonEnds-1]) > contactTime
		if known && p.inTouch {
			r.late++
			s.tell("late: %s at %s", p.attempt.id, p.attempt.instance)
		}
	}
	if r.late > poisonLate {
		s.broken("%d requests with a part under which %d servers had crashed reached servers", r.late, poisonEnds)
	}
}
