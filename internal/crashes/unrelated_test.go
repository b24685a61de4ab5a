package crashes

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

// partRule is a rule by which parts of prompts are refused.
type partRule struct {
	name string
	// refuses reports whether a request is refused. of knows of ends only, ran also of runs
	// without a crash.
	refuses func(of, ran *Tracker, c Content, now monotime.Instant) bool
}

// anyPart reports whether a rule holds for any part of a request.
func anyPart(t *Tracker, c Content, rule func(*suspect) bool) bool {
	for _, f := range c.Parts {
		if s := t.suspects[f]; s != nil && rule(s) {
			return true
		}
	}
	return false
}

var partRules = []partRule{
	{"three ends", func(of, _ *Tracker, c Content, _ monotime.Instant) bool {
		return anyPart(of, c, func(s *suspect) bool { return len(s.ends) >= minEnds })
	}},
	{"three ends since it ran", func(_, ran *Tracker, c Content, _ monotime.Instant) bool {
		return anyPart(ran, c, func(s *suspect) bool { return len(s.ends) >= minEnds })
	}},
	{"and at three moments, or five", func(_, ran *Tracker, c Content, _ monotime.Instant) bool {
		return anyPart(ran, c, func(s *suspect) bool { return s.isCandidate(minEnds) })
	}},
	{"the fewest parts that explain the ends", func(_, ran *Tracker, c Content, now monotime.Instant) bool {
		return refuses(ran, c, now)
	}},
}

// partSimulation is a fleet of servers that end for reasons of their own, and under one part.
type partSimulation struct {
	random  *rand.Rand
	of, ran *Tracker
	running [][]simulatedRun
	starts  []int
	down    []monotime.Instant
	// last is when a run with each part began that ended without a crash.
	last *Runs

	sent int
	// refused are the sound requests that each rule refuses, and known the ends under the
	// culprit when each rule refuses it; 0 if it does not.
	refused, known [4]int
	culpritEnds    int
}

type simulatedRun struct {
	content      Content
	begun, until monotime.Instant
	poison       bool
}

const (
	simServers  = 18
	simStep     = 20 * time.Millisecond
	simDownTime = 2 * time.Second
)

// sound returns a sound request: one of five customers, a prompt that many share, a session
// of a few requests, and a part of its own, which does not count.
func (s *partSimulation) sound(n int) Content {
	c := content(fmt.Sprint("c", s.random.IntN(5)), fmt.Sprint("shared", s.random.IntN(6)), fmt.Sprint("session", n/4))
	c.Request = fingerprint(n)
	return c
}

func (s *partSimulation) begin(c Content, poison bool, now monotime.Instant) {
	server := s.random.IntN(simServers)
	if now < s.down[server] {
		return
	}
	begins := now.Add(time.Duration(50+s.random.IntN(200)) * time.Millisecond)
	r := simulatedRun{content: c, begun: begins, until: begins.Add(time.Duration(200+s.random.IntN(3000)) * time.Millisecond), poison: poison}
	s.running[server] = append(s.running[server], r)
}

// end ends a server under all that had just begun there.
func (s *partSimulation) end(server int, now monotime.Instant) {
	id := fmt.Sprint(server, "/", s.starts[server])
	for _, r := range s.running[server] {
		if now.Sub(r.begun) > 500*time.Millisecond {
			continue
		}
		crash := Crash{Request: r.content.Request, Parts: r.content.Parts, Customer: r.content.Customer, Server: id, At: now}
		s.of.Add(crash, now)
		s.ran.Add(crash, now)
		for _, part := range crash.Parts {
			if at, ok := s.last.Last(part, now); ok {
				s.ran.Survived(part, at)
			}
		}
	}
	s.running[server], s.down[server] = nil, now.Add(simDownTime)
	s.starts[server]++
}

func (s *partSimulation) advance(now monotime.Instant) {
	for server, running := range s.running {
		var left []simulatedRun
		crashed := false
		for _, r := range running {
			switch {
			case r.poison && now >= r.begun:
				crashed = true
				left = append(left, r)
			case now >= r.until:
				s.last.Record(r.content.Parts, r.begun)
				for _, part := range append([]Fingerprint{r.content.Request}, r.content.Parts...) {
					s.ran.Ran(part, r.begun)
				}
			default:
				left = append(left, r)
			}
		}
		s.running[server] = left
		if crashed {
			s.culpritEnds++
			s.end(server, now)
		}
	}
}

// simulateParts lets servers end at a rate, a third of them at once now and then, and sends
// requests with a culprit part until a rule refuses it.
func simulateParts(seed uint64, endsPerSecond float64, zones, poison bool) *partSimulation {
	s := &partSimulation{
		random: rand.New(rand.NewPCG(seed, 3)), of: NewTracker(), ran: NewTracker(), last: NewRuns(),
		running: make([][]simulatedRun, simServers), starts: make([]int, simServers), down: make([]monotime.Instant, simServers),
	}
	now, next := start, 100
	for n := 0; now.Sub(start) < time.Minute; n++ {
		now = now.Add(simStep)
		s.advance(now)
		if s.random.Float64() < endsPerSecond*simStep.Seconds() {
			s.end(s.random.IntN(simServers), now)
		}
		for server := range simServers / 3 {
			if zones && n%500 == 400 {
				s.end(server, now)
			}
		}
		for range 1 + s.random.IntN(2) {
			next++
			c := s.sound(next)
			s.sent++
			for i, rule := range partRules {
				if rule.refuses(s.of, s.ran, c, now) {
					s.refused[i]++
				}
			}
			s.begin(c, false, now)
		}
		if poison && n%8 == 0 && n > 50 {
			next++
			c := content("c1", "shared1", "bad")
			c.Request = fingerprint(next)
			for i, rule := range partRules {
				if s.known[i] == 0 && rule.refuses(s.of, s.ran, c, now) {
					s.known[i] = s.culpritEnds
				}
			}
			if s.known[len(partRules)-1] == 0 {
				s.begin(c, true, now)
			}
		}
	}
	return s
}

// Guards against sound requests that are refused since servers ended under their parts.
func TestPartsThatRanOnServersThatEndedAreNotRefused(t *testing.T) {
	for _, c := range []struct {
		name          string
		endsPerSecond float64
		zones, poison bool
	}{
		{"servers end", 1, false, false},
		{"servers end often", 3, false, false},
		{"a third at once, each 10 s", 0.2, true, false},
		{"a culprit part", 0, false, true},
		{"a culprit part beside both", 1, true, true},
	} {
		var sent int
		var refused [4]int
		known := make([]map[int]int, len(partRules))
		for i := range known {
			known[i] = make(map[int]int)
		}
		for seed := range uint64(10) {
			s := simulateParts(seed, c.endsPerSecond, c.zones, c.poison)
			sent += s.sent
			for i := range partRules {
				refused[i] += s.refused[i]
				known[i][s.known[i]]++
			}
		}
		for i, rule := range partRules {
			t.Logf("%s, %s: %d of %d sound requests refused; the culprit known after ends: %v", c.name, rule.name, refused[i], sent, known[i])
		}
		last := len(partRules) - 1
		if refused[last]*500 > sent {
			t.Errorf("%s: %d of %d sound requests refused, at most one in 500 wanted", c.name, refused[last], sent)
		}
		for ends := range known[last] {
			if c.poison && (ends == 0 || ends > 5) {
				t.Errorf("%s: the culprit is known after %d ends, at most 5 wanted", c.name, ends)
			}
		}
	}
}

// Guards against ends that are blamed on requests once very many had another cause.
func TestTheLatestOfVeryManyFallsCount(t *testing.T) {
	b := NewTracker()
	for n := range maxFallen + 10 {
		b.Fell(fmt.Sprint("s", n), start.Add(time.Duration(n)*time.Millisecond))
	}
	last := fmt.Sprint("s", maxFallen+9)
	if isNew, _ := b.Add(crash(1, "c", last, start.Add(5*time.Second)), start.Add(5*time.Second)); isNew {
		t.Errorf("the end of a server that fell was recorded")
	}
	if len(b.fallen) != maxFallen {
		t.Errorf("%d falls kept", len(b.fallen))
	}
}
