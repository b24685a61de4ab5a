package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// contendedBelow is the number of free slots for each unheard request below
	// which slots are drawn for. Above, requests spread by what engines keep and
	// hold; drawing from 8 on cost streams with short pauses the engines that
	// they share (1,640 of 2,680 on time in a burst in place of 1,880).
	contendedBelow = 2.0
	// draws is the number of slots drawn for a request, of which it takes the best.
	draws = 3
	// maxCacheHolders is the number of engines that keep most of the prompt that are
	// chosen from too. With them a burst moves 1.3 TB of prompts, without 2.4.
	maxCacheHolders = 2
	// lagFactor is how much longer a choice may stay unknown than news of choices take
	// in the mean: each hop holds some for longer than others. With 1 and 2.5 less is on
	// time in a burst that fills all engines.
	lagFactor = 1.5
	// minRefusalRate is the rate of refusals over all instances, in requests a second, from
	// which on slots are left to the more urgent.
	minRefusalRate = 1.0
	// rateWindow is the time over which rates of requests are averaged.
	rateWindow = time.Second
)

// contention is what is known of the instances that choose beside this one.
type contention struct {
	// others is the number of instances beside this one.
	others int
	// lag is how long after a choice of theirs it is known here, in the mean.
	lag time.Duration
	// begun is the rate of requests sent by all instances, as heard, and refused
	// that of those that this one refused for want of slots; by priority.
	begun, refused [lastPriorityIndex + 1]rate
	// ended is the rate of runs that all instances ended, as heard.
	ended rate
}

// lastPriorityIndex is the last priority whose requests are counted by themselves;
// those below it count as it.
const lastPriorityIndex = 3

// priorityIndex returns the place of a priority in the rates.
func priorityIndex(priority int) int { return min(max(0, priority), lastPriorityIndex) }

// byPriority holds a sum for each priority; those beyond the last counted are in it.
type byPriority [lastPriorityIndex + 1]float64

// upTo is the sum over a priority and those before it.
func (b *byPriority) upTo(priority int) float64 {
	sum := 0.0
	for _, x := range b[:1+priorityIndex(priority)] {
		sum += x
	}
	return sum
}

// rate is how many requests come in a second, as of an instant.
type rate struct {
	perSecond float64
	at        monotime.Instant
}

func (r *rate) add(now monotime.Instant) {
	*r = rate{perSecond: r.perSecondAt(now) + 1/rateWindow.Seconds(), at: now}
}

func (r rate) perSecondAt(now monotime.Instant) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// SetPeers tells how many other instances choose, and how long after a choice of
// theirs it is known here, in the mean.
func (b *Board) SetPeers(others int, lag time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.contention.others, b.contention.lag = others, lag
}

// unreported is how many requests of a priority and of those before it the others
// are likely to send, if they may, before it is known here. What all send is
// heard; what the others refuse is about what this one does, since callers choose
// instances by chance. This one's own requests alone would not do: one of 85
// instances that has twice its share for a second would refuse while engines are
// free. Less urgent requests do not count: they leave some slots to the others,
// and must not have these refused.
func (c *contention) unreported(priority int, now monotime.Instant) float64 {
	others, sum := float64(c.others), 0.0
	for p := range 1 + priorityIndex(priority) {
		sum += c.begun[p].perSecondAt(now)*others/(others+1) + c.refused[p].perSecondAt(now)*others
	}
	return sum * c.reportDelay().Seconds()
}

// reportDelay is the time for which the choices of the others are not known here.
func (c *contention) reportDelay() time.Duration {
	if c.others == 0 {
		return 0
	}
	return time.Duration(lagFactor * float64(c.lag))
}

// refusedByAll is the rate of requests of a priority that all instances refuse for want of
// slots. Callers choose instances by chance, so the others refuse about what this one does.
func (c *contention) refusedByAll(priority int, now monotime.Instant) float64 {
	return c.refused[priority].perSecondAt(now) * float64(c.others+1)
}

// urgentRefused reports whether requests that are more urgent than a priority have been refused
// lately for want of slots.
func (c *contention) urgentRefused(priority int, now monotime.Instant) bool {
	for p := range priorityIndex(priority) {
		if c.refusedByAll(p, now) >= minRefusalRate {
			return true
		}
	}
	return false
}

// slotDeficit is by how much more slots are asked for in a second by requests that are more
// urgent than a priority than runs leave free.
func (c *contention) slotDeficit(priority int, now monotime.Instant) float64 {
	requested := 0.0
	for p := range priorityIndex(priority) {
		requested += c.begun[p].perSecondAt(now) + c.refusedByAll(p, now)
	}
	return max(0, requested-c.ended.perSecondAt(now))
}

// fullProbability is the probability that at least as many requests are on their way to an
// engine as it has slots free, of which arrivals are expected. Instances that see the
// same engine as the best one send there together before they hear of each other: of
// 83 instances with engines of 12 slots one urgent request in twenty was refused by
// an engine that was full when it came, while others had room.
func fullProbability(arrivals float64, free int) float64 {
	if arrivals <= 0 {
		return 0
	}
	below, term := 0.0, math.Exp(-arrivals)
	for n := range free {
		below += term
		term *= arrivals / float64(n+1)
	}
	return max(0, 1-below)
}

// admit returns the servers that a request chooses from, or with what it should
// be refused.
//
// When nearly all engines are full, every instance sees the same few with a free
// slot. They all send there before they hear of each other: 59 instances sent 50
// requests within 150 ms to an engine that had four slots free again, and those
// waited until their deadline. So each request draws slots by chance, and as
// many requests as there are slots for draw at all; the others are refused while
// their callers still have time to come back. In a burst that fills 140 engines
// of 16 slots, 13 of 100 requests go to an engine with 14 or more in place of 73,
// and engines preempt 212 requests in place of 722.
func (b *Board) admit(open []availableServer, work *Work, now monotime.Instant) ([]availableServer, Choice) {
	if work.Prompt == 0 || b.contention.others == 0 {
		return open, Choice{}
	}
	unreported, free := b.contention.unreported(work.Priority, now), 0
	for _, s := range open {
		if s.memory == 0 {
			return open, Choice{} // no engine; its requests wait for a slot
		}
		free += s.freeSlots
	}
	if free > 0 && float64(free) >= contendedBelow*unreported {
		return open, Choice{}
	}
	if b.rand.Float64()*unreported >= float64(free) {
		return nil, Choice{Free: free, Unreported: int(unreported)}
	}
	out := b.cacheHolders(open, work)
	for range draws {
		out = append(out, drawSlot(open, b.rand.IntN(free)))
	}
	return out, Choice{}
}

// drawSlot returns the engine of a free slot.
func drawSlot(open []availableServer, slot int) availableServer {
	for _, s := range open {
		if slot -= s.freeSlots; slot < 0 {
			return s
		}
	}
	return availableServer{} // not reached: slot is below the sum of what is free
}

// cacheHolders returns some of the engines that keep most of the shared start of a
// prompt.
func (b *Board) cacheHolders(open []availableServer, work *Work) []availableServer {
	if len(work.Parts) < 2 {
		return nil
	}
	shared := work.Parts[:len(work.Parts)-1]
	var out []availableServer
	longest := minFetchTokens
	for _, s := range open {
		tokens := s.cache.cachedTokens(shared)
		if tokens < longest {
			continue
		}
		if tokens > longest {
			longest, out = tokens, out[:0]
		}
		out = append(out, s)
	}
	b.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(maxCacheHolders, len(out))]
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
