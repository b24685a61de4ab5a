package placement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var largeBrittleFleets = flag.Bool("brittle.large", false, "simulate brittle servers before 300 and 585 instances too")

// slotRule decides whether an instance may send to a brittle server on which it sees so
// many unused slots, with so many own requests that others have not heard of.
type slotRule struct {
	name string
	may  func(unused, unreported, place, instances int, expected float64) bool
}

var slotRules = []slotRule{
	{"any instance", func(unused, _, _, _ int, _ float64) bool { return unused > 0 }},
	{"an owner of the last slots", func(unused, _, place, _ int, expected float64) bool {
		return unused > 0 && (float64(unused) > expected || place == 0)
	}},
	{"one owner", func(unused, _, place, _ int, _ float64) bool { return unused > 0 && place == 0 }},
	{"slots are shared", func(unused, unreported, place, instances int, _ float64) bool {
		return unused > 0 && unreported < shareOf(unused+unreported, place, instances)
	}},
}

// slotSimulation is a fleet that presses on brittle servers, in steps of a millisecond.
type slotSimulation struct {
	random             *rand.Rand
	instances, servers int
	rule               slotRule
	// place of each instance at each server.
	place [][]int
	// running at each server, and known to instances that hear early or late.
	running []int
	known   [len(reportDelays)][]int
	// unreported of each instance at each server, by the instants of the sends.
	unreported map[[2]int][]int
	refusals   [][]int
	downUntil  []int
	// starts counts the falls of each server.
	starts []int
	due    map[int][]func()

	served, refused, notSent, falls int
}

const (
	simSlots, simRun, simDown, simMaxRefusals = 8, 900, 2500, 3
	// simSample is how many servers are looked at before the best of them is taken.
	simLasts, simSample = 10_000, 128
)

// reportDelays are after how many milliseconds instances receive reports: those near and
// those far away.
var reportDelays = [...]int{30, 80}

func (s *slotSimulation) at(now int, f func()) { s.due[now] = append(s.due[now], f) }

// report changes what all instances know of a server, each after its delay.
func (s *slotSimulation) report(now, server, change int) {
	start := s.starts[server]
	for i, delay := range reportDelays {
		s.at(now+delay, func() {
			if s.starts[server] == start {
				s.known[i][server] += change
			}
		})
	}
}

func (s *slotSimulation) own(instance, server, now int) int {
	key := [2]int{instance, server}
	sent := s.unreported[key]
	for len(sent) > 0 && now-sent[0] > reportDelays[len(reportDelays)-1] {
		sent = sent[1:]
	}
	if len(sent) == 0 {
		delete(s.unreported, key)
		return 0
	}
	s.unreported[key] = sent
	return len(sent)
}

// ask lets an instance send a request to the least loaded of the servers that it may use.
func (s *slotSimulation) ask(instance, now int, expected float64) {
	best, load := -1, 0
	offset := s.random.IntN(s.servers)
	for n := range s.servers {
		server := (offset + n) % s.servers
		if n%simSample == 0 && best >= 0 {
			break
		}
		if now < s.downUntil[server] {
			continue
		}
		own := s.own(instance, server, now)
		// Own requests are known at once, those of others when they are reported.
		known := s.known[instance%len(reportDelays)][server] + own
		if !s.rule.may(simSlots-known, own, s.place[server][instance], s.instances, expected) {
			continue
		}
		if best < 0 || known < load {
			best, load = server, known
		}
	}
	if best < 0 {
		s.notSent++
		return
	}
	s.send(instance, best, now)
}

func (s *slotSimulation) send(instance, server, now int) {
	if s.running[server] >= simSlots {
		s.refuse(server, now)
		return
	}
	key := [2]int{instance, server}
	s.unreported[key] = append(s.unreported[key], now)
	s.running[server]++
	s.report(now, server, 1)
	start := s.starts[server]
	s.at(now+simRun, func() {
		if s.starts[server] == start {
			s.running[server]--
			s.served++
			s.report(now+simRun, server, -1)
		}
	})
}

func (s *slotSimulation) refuse(server, now int) {
	s.refused++
	recent := s.refusals[server]
	for len(recent) > 0 && now-recent[0] >= 1000 {
		recent = recent[1:]
	}
	s.refusals[server] = append(recent, now)
	if len(s.refusals[server]) <= simMaxRefusals {
		return
	}
	s.falls++
	s.starts[server]++
	s.downUntil[server] = now + simDown
	s.refusals[server], s.running[server] = nil, 0
	for i := range s.known {
		s.known[i][server] = 0
	}
}

func simulateSlots(seed uint64, instances int, rule slotRule) *slotSimulation {
	s := &slotSimulation{
		random: rand.New(rand.NewPCG(seed, 1)), instances: instances, servers: max(6, instances*5/6), rule: rule,
		unreported: make(map[[2]int][]int), due: make(map[int][]func()),
	}
	for range s.servers {
		s.place = append(s.place, s.random.Perm(instances))
	}
	s.running, s.downUntil, s.starts = make([]int, s.servers), make([]int, s.servers), make([]int, s.servers)
	s.refusals = make([][]int, s.servers)
	for i := range s.known {
		s.known[i] = make([]int, s.servers)
	}
	capacity := float64(s.servers*simSlots) / simRun // requests in a millisecond
	pending := 0.0
	for now := range simLasts {
		for _, f := range s.due[now] {
			f()
		}
		delete(s.due, now)
		free := 0
		for _, known := range s.known[0] {
			if known < simSlots {
				free++
			}
		}
		factor := 1.2
		if now/3000%2 == 1 {
			factor = 0.7
		}
		// What others are expected to send to a server with a free slot, unheard.
		expected := factor * capacity * float64(reportDelays[len(reportDelays)-1]) / float64(max(1, free))
		for pending += factor * capacity; pending >= 1; pending-- {
			s.ask(s.random.IntN(instances), now, expected)
		}
	}
	return s
}

// Guards against brittle servers that fall, or stay unused, before large fleets.
func TestSlotsOfBrittleServersAreShared(t *testing.T) {
	sizes := []int{8, 60}
	if *largeBrittleFleets {
		sizes = append(sizes, 300, 585)
	}
	for _, instances := range sizes {
		for i, rule := range slotRules {
			s := simulateSlots(1, instances, rule)
			possible := float64(s.servers*simSlots) * simLasts / simRun
			summary := fmt.Sprintf("%d instances, %d servers, %s: %d falls, %d refusals, %d not sent, %d served (%.2f of all slots) in %v",
				instances, s.servers, rule.name, s.falls, s.refused, s.notSent, s.served, float64(s.served)/possible, simLasts*time.Millisecond)
			t.Log(summary)
			if last := i == len(slotRules)-1; last && (s.falls > 2+s.servers/10 || float64(s.served) < possible*0.6) {
				t.Error(summary)
			}
		}
	}
}

// Guards against an instance without a share that sends nothing, or takes others' last slots.
func TestInstancesWithoutAShareUseIdleServers(t *testing.T) {
	const size, slots = 90, 6
	for _, pool := range []int{size, 4 * size} {
		b := NewBoard(testPace, "here")
		b.SetPeers(584, 40*time.Millisecond)
		b.SetSharing("me", func(string) (place, instances int, ok bool) { return slots, 585, true })
		var candidates []Candidate
		for n := range pool {
			candidates = append(candidates, Candidate{ID: fmt.Sprint("s", n), Service: "app", Slots: slots, Brittle: true})
		}
		p := NewPool(candidates)
		all := func(*Candidate) bool { return true }
		choice, refusal := b.ChooseFrom(Work{}, p, nil, all, start)
		if refusal != Chosen || choice.Brittle {
			t.Errorf("%d servers, idle: %v", pool, refusal)
		}
		run := 0
		for _, c := range candidates {
			for range slots - 2 {
				run++
				b.Begin(RunID{Instance: "other", Number: run}, c.ID, Work{}, 0, start)
			}
		}
		if _, refusal := b.ChooseFrom(Work{}, p, nil, all, start); refusal != AllFull {
			t.Errorf("%d servers with two slots left each: %v", pool, refusal)
		}
	}
}

// Guards against a slot that is taken twice between a choice and the begin of its request.
func TestABrittleServerIsCheckedAgainAtTheBegin(t *testing.T) {
	b := NewBoard(testPace, "here")
	c := Candidate{ID: "s", Service: "app", Slots: 2, Brittle: true}
	if _, refusal := b.Choose(Work{}, []Candidate{c}, start); refusal != Chosen {
		t.Fatal(refusal)
	}
	for n := range 3 {
		if ok := b.BeginOnBrittle(RunID{Number: n}, c.ID, Work{}, 0, start); ok != (n < 2) {
			t.Errorf("request %d of a server with two slots: %v", n, ok)
		}
	}
}

// Guards against brittle servers that still run the requests of an instance that was killed.
func TestRequestsOfALostInstanceHoldSlotsOfBrittleServers(t *testing.T) {
	const life = time.Second
	b := NewBoard(testPace, "here")
	c := Candidate{ID: "s", Service: "app", Slots: 2, Brittle: true}
	b.Choose(Work{}, []Candidate{c}, start)
	b.Begin(RunID{Instance: "other", Number: 1}, c.ID, Work{}, 0, start)
	b.End(RunID{Instance: "other", Number: 1}, start.Add(life))
	begun := start.Add(2 * life)
	for n := range 2 {
		b.Begin(RunID{Instance: "lost", Number: n}, c.ID, Work{}, 0, begun)
	}
	b.InstanceGone("lost", begun.Add(life/10))
	for _, step := range []struct {
		after time.Duration
		want  Refusal
	}{{life / 2, AllFull}, {life, AllFull}, {2 * life, Chosen}} {
		if _, refusal := b.Choose(Work{}, []Candidate{c}, begun.Add(step.after)); refusal != step.want {
			t.Errorf("%v after the requests began: %v, want %v", step.after, refusal, step.want)
		}
	}
}
