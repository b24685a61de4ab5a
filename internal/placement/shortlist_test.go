package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// largePool returns a pool of n engines in five data centres, the first of them "here".
func largePool(n int) *Pool {
	candidates := enginesWithFetch(n)
	for i := range candidates {
		candidates[i].Slots = 16
		if i%5 != 0 {
			candidates[i].DataCentre = fmt.Sprint("there-", i%5)
		}
	}
	return NewPool(candidates)
}

// counted returns a filter that allows all servers, and the number of its calls.
func counted() (allowed func(*Candidate) bool, calls *int) {
	calls = new(int)
	return func(*Candidate) bool { *calls++; return true }, calls
}

// fleetBoards returns the boards of some instances of a large fleet, in four data centres.
func fleetBoards(instances int) []*Board {
	var out []*Board
	for n := range instances {
		b := NewBoard(testPace, fmt.Sprint("there-", 1+n%4))
		b.Seed(uint64(n))
		b.SetPeers(584, 35*time.Millisecond)
		out = append(out, b)
	}
	return out
}

func fillSlots(b *Board, pool *Pool, work Work) {
	number := 0
	for i := range pool.candidates {
		c := &pool.candidates[i]
		b.server(*c)
		for range c.Slots {
			number++
			b.Begin(RunID{"peer", number}, c.ID, work, 0, start)
		}
	}
}

// Guards against choices whose work grows with the number of engines: with 6,000 of them,
// one choice took 27 ms of a machine with a fifth of a core.
func TestAChoiceLooksAtABoundedNumberOfEngines(t *testing.T) {
	const mostLooks = maxHolders + 2*homes + maxSample
	for _, size := range []int{600, 6000, 12000} {
		pool := largePool(size)
		b := NewBoard(testPace, "here")
		b.Seed(1)
		b.SetPeers(584, 35*time.Millisecond)
		allowed, looks := counted()
		work := longPrompt("chain", "own")
		choice, refusal := b.ChooseFrom(work, pool, nil, allowed, start)
		if refusal != Chosen || *looks > 2*homes {
			t.Errorf("%d idle engines: refusal %v, %d looked at", size, refusal, *looks)
		}
		b.Begin(RunID{"me", 1}, choice.Server, work, choice.Unread, start)
		allowed, looks = counted()
		work.Parts = work.Parts[1:]
		if _, refusal := b.ChooseFrom(work, pool, nil, allowed, start); refusal != Chosen || *looks > firstSample {
			t.Errorf("%d idle engines, nothing shared: refusal %v, %d looked at", size, refusal, *looks)
		}
		full := NewBoard(testPace, "here")
		fillSlots(full, pool, shortPrompt("filling"))
		allowed, looks = counted()
		if _, refusal := full.ChooseFrom(longPrompt("chain", "own"), pool, nil, allowed, start); refusal != AllFull || *looks > mostLooks {
			t.Errorf("%d full engines: refusal %v, %d looked at", size, refusal, *looks)
		}
	}
}

// Guards against prompts that are read again and again: with many instances a prompt went
// to any of the engines but the one that caches its start.
func TestPromptsStayWhereTheirStartIsCached(t *testing.T) {
	pool := largePool(6000)
	allowed, _ := counted()
	sends := make(map[string]map[string]bool) // engines by chain
	const instances, chains, requests = 20, 40, 5
	boards := fleetBoards(instances)
	number := 0
	for round := range requests {
		for c := range chains {
			now := start.Add(time.Duration(round)*time.Second + time.Duration(c)*time.Millisecond)
			chain := fmt.Sprint("chain-", c)
			work := longPrompt(chain, fmt.Sprint(round))
			choice, refusal := boards[(round+c)%instances].ChooseFrom(work, pool, nil, allowed, now)
			if refusal != Chosen {
				t.Fatal(refusal)
			}
			number++
			id := RunID{"any", number}
			for _, b := range boards {
				b.Begin(id, choice.Server, work, choice.Unread, now)
				b.FirstEvent(id, now.Add(400*time.Millisecond))
				b.End(id, now.Add(900*time.Millisecond))
			}
			if sends[chain] == nil {
				sends[chain] = make(map[string]bool)
			}
			sends[chain][choice.Server] = true
		}
	}
	for chain, engines := range sends {
		if len(engines) > 1 {
			t.Errorf("%s was read by %d engines", chain, len(engines))
		}
	}
}

// Guards against instances that choose different engines for a prompt whose start none of
// them has seen, and against a lost engine that moves the prompts of others.
func TestInstancesAgreeOnTheHomesOfAPrompt(t *testing.T) {
	whole := largePool(3000)
	lost := NewPool(whole.candidates[1:])
	moved := 0
	const chains = 500
	for c := range chains {
		work := longPrompt(fmt.Sprint("chain-", c), "own")
		homesIn := func(pool *Pool) (out []string) {
			allowed, _ := counted()
			list := newShortlist(pool, allowed)
			NewBoard(testPace, "here").addHomes(list, &work)
			for _, candidate := range list.candidates {
				out = append(out, candidate.ID)
			}
			return out
		}
		before, after := homesIn(whole), homesIn(lost)
		if len(before) < homes {
			t.Fatalf("%d homes", len(before))
		}
		if !slices.Equal(before, after) {
			moved++
		}
	}
	if moved > chains/50 {
		t.Errorf("the loss of one engine of 3000 moves %d of %d prompts", moved, chains)
	}
}

// Guards against engines that all requests go to because their prompts begin alike: the
// first part is common to all, the second to few of them.
func TestPromptsWithACommonBeginningSpread(t *testing.T) {
	pool := largePool(6000)
	allowed, _ := counted()
	const instances, chains, requests = 20, 200, 600
	boards := fleetBoards(instances)
	arrivals := make(map[string]int)
	for number := range requests {
		now := start.Add(time.Duration(number) * 2 * time.Millisecond)
		work := longPrompt(fmt.Sprint("chain-", number%chains), fmt.Sprint(number))
		work.Parts = append([]Part{{ID: "common", Tokens: 1200}}, work.Parts...)
		choice, refusal := boards[number%instances].ChooseFrom(work, pool, nil, allowed, now)
		if refusal != Chosen {
			t.Fatal(refusal)
		}
		arrivals[choice.Server]++
		for _, b := range boards {
			b.Begin(RunID{"any", number}, choice.Server, work, choice.Unread, now)
		}
	}
	for id, n := range arrivals {
		if most := 2 * requests / chains; n > most {
			t.Errorf("%d of %d requests arrive at %s, for %d of each prompt", n, requests, id, requests/chains)
		}
	}
}

// Guards against requests refused while a home and the engines that cache their prompts
// are full or not allowed, and others are free.
func TestAChoiceGoesBeyondFullAndForbiddenEngines(t *testing.T) {
	pool := largePool(3000)
	b := NewBoard(testPace, "here")
	b.Seed(1)
	work := longPrompt("chain", "own")
	allowed, _ := counted()
	number := 0
	used := make(map[string]int)
	for range 200 {
		choice, refusal := b.ChooseFrom(work, pool, nil, allowed, start)
		if refusal != Chosen || choice.Preempts {
			t.Fatalf("after %d: refusal %v, preempts %v", number, refusal, choice.Preempts)
		}
		number++
		used[choice.Server]++
		b.Begin(RunID{"me", number}, choice.Server, work, choice.Unread, start)
	}
	for id, n := range used {
		if n > 16 {
			t.Errorf("%d requests on %s", n, id)
		}
	}
	only := pool.candidates[1234].ID
	choice, refusal := b.ChooseFrom(work, pool, nil, func(c *Candidate) bool { return c.ID == only }, start)
	if refusal != Chosen || choice.Server != only {
		t.Errorf("refusal %v, server %s", refusal, choice.Server)
	}
	if _, refusal := b.ChooseFrom(work, pool, nil, func(*Candidate) bool { return false }, start); refusal != NoneReachable {
		t.Errorf("refusal %v", refusal)
	}
}

// Guards against known holders of parts that outlast the server or the part.
func TestHoldersFollowTheCaches(t *testing.T) {
	b := NewBoard(testPace, "here")
	pool := largePool(300)
	for i := range 3 {
		b.server(pool.candidates[i])
		b.Begin(RunID{"peer", i}, pool.candidates[i].ID, longPrompt("chain", fmt.Sprint(i)), 0, start)
	}
	b.RemoveServer(pool.candidates[0].ID)
	if got := len(b.holders["chain"]); got != 2 {
		t.Errorf("%d holders after one was removed", got)
	}
	for i := range 30 { // more than an engine caches
		b.Begin(RunID{"peer", 10 + i}, pool.candidates[1].ID, longPrompt(fmt.Sprint("other-", i), fmt.Sprint("own-", i)), 0, start.Add(time.Second))
	}
	if got := b.holders["chain"]; len(got) != 1 || got[0].id != pool.candidates[2].ID {
		t.Errorf("%d holders after the part was evicted from another", len(got))
	}
}

// BenchmarkChooseFrom measures one choice of a prompt without a known holder, and of one
// that shares nothing, among engines with a run each.
func BenchmarkChooseFrom(b *testing.B) {
	for _, size := range []int{600, 6000, 12000} {
		pool := largePool(size)
		board := NewBoard(testPace, "here")
		for i := range pool.candidates {
			board.server(pool.candidates[i])
			board.Begin(RunID{"peer", i}, pool.candidates[i].ID, longPrompt(fmt.Sprint("c", i), fmt.Sprint(i)), 5000, start)
		}
		now := start.Add(time.Second)
		for name, work := range map[string]Work{"shared": longPrompt("c1", "x"), "own": {Prompt: 1400, Output: 170, Goal: time.Second}} {
			b.Run(fmt.Sprint(size, "/", name), func(b *testing.B) {
				allowed, _ := counted()
				b.ReportAllocs()
				for b.Loop() {
					board.ChooseFrom(work, pool, nil, allowed, now)
				}
			})
		}
	}
}
