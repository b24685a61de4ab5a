package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// contendedBelow is the number of free slots for each unreported request below which
	// slots are drawn at random. Above it, requests are spread by the caches and the load
	// of the engines. With 8, streams with short pauses lost the engines that they
	// share: 1,640 of 2,680 were on time in a burst in place of 1,880.
	contendedBelow = 2.0
	// draws is the number of slots drawn for a request, of which it takes the best. More
	// draws send more instances to the same slot, fewer take worse ones.
	draws = 3
	// maxCacheHolders is the number of engines caching the longest start of the prompt
	// that are considered besides the drawn ones. With them a burst transfers 1.3 TB of
	// prompts, without them 2.4 TB.
	maxCacheHolders = 2
	// stalenessFactor is the ratio of the longest delay of a reported choice to the mean one,
	// since each hop holds some updates for longer than others. With 1 and with 2.5 less
	// is on time in a burst that fills all engines.
	stalenessFactor = 1.5
	// minRefusalRate is the rate of refusals over all instances, in requests a second,
	// from which on the last slots are reserved for the more urgent requests.
	minRefusalRate = 1.0
	// rateWindow is the time constant of the averaged rates of requests.
	rateWindow = time.Second
)

// contention tracks the load from the instances that place requests on the same servers.
type contention struct {
	// others is the number of other instances.
	others int
	// staleness is the mean delay until a choice of another instance is received.
	staleness time.Duration
	// begun is the rate of requests sent by all instances, as far as reported, and
	// refused the rate of those that this instance refused for lack of slots; both by
	// priority.
	begun, refused [lastPriorityIndex + 1]rate
	// ended is the rate of runs ended by all instances, as far as reported.
	ended rate
}

// lastPriorityIndex is the last priority with an entry of its own; lower priorities share
// it.
const lastPriorityIndex = 3

// priorityIndex returns the index of a priority in arrays by priority.
func priorityIndex(priority int) int { return min(max(0, priority), lastPriorityIndex) }

// byPriority holds a sum for each priority index.
type byPriority [lastPriorityIndex + 1]float64

// upTo returns the sum over a priority and all more urgent ones.
func (b *byPriority) upTo(priority int) float64 {
	sum := 0.0
	for _, x := range b[:1+priorityIndex(priority)] {
		sum += x
	}
	return sum
}

// rate is an exponentially decaying average of events per second, as of an instant.
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

// SetPeers sets the number of other instances that choose, and the mean delay until a
// choice of theirs is received.
func (b *Board) SetPeers(others int, staleness time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.contention.others, b.contention.staleness = others, staleness
}

// unreported returns the expected number of requests of a priority or a more urgent one
// that the other instances send, if they may, before this instance receives a report of
// them. The rate of requests sent is reported by all. What the others refuse is estimated
// by what this one does, since callers choose instances at random. The requests of this
// instance alone would not do: one of 85 instances that gets twice its share for a second
// would refuse while engines are free. Less urgent requests don't count: some slots are
// reserved from them, and they must not cause refusals of more urgent ones.
func (c *contention) unreported(priority int, now monotime.Instant) float64 {
	others, sum := float64(c.others), 0.0
	for p := range 1 + priorityIndex(priority) {
		sum += c.begun[p].perSecondAt(now)*others/(others+1) + c.refused[p].perSecondAt(now)*others
	}
	return sum * c.reportDelay().Seconds()
}

// reportDelay returns the time for which choices of other instances may be unreported.
func (c *contention) reportDelay() time.Duration {
	if c.others == 0 {
		return 0
	}
	return time.Duration(stalenessFactor * float64(c.staleness))
}

// refusedByAll returns the rate of requests of a priority that all instances refuse for
// lack of slots. Callers choose instances at random, so the others refuse about as many
// as this one.
func (c *contention) refusedByAll(priority int, now monotime.Instant) float64 {
	return c.refused[priority].perSecondAt(now) * float64(c.others+1)
}

// urgentRefused reports whether requests that are more urgent than a priority have
// recently been refused for lack of slots.
func (c *contention) urgentRefused(priority int, now monotime.Instant) bool {
	for p := range priorityIndex(priority) {
		if c.refusedByAll(p, now) >= minRefusalRate {
			return true
		}
	}
	return false
}

// slotDeficit returns by how many slots a second the demand of requests more urgent than
// a priority exceeds the slots that ending runs free.
func (c *contention) slotDeficit(priority int, now monotime.Instant) float64 {
	requested := 0.0
	for p := range priorityIndex(priority) {
		requested += c.begun[p].perSecondAt(now) + c.refusedByAll(p, now)
	}
	return max(0, requested-c.ended.perSecondAt(now))
}

// fullProbability returns the probability that at least as many requests are on their way
// to an engine as it has free slots, for a Poisson distribution with mean arrivals.
// Instances that see the same engine as the best one send there together before they
// receive each other's reports: of 83 instances with engines of 12 slots, one urgent
// request in twenty was refused by an engine that was full when it arrived, while others
// had free slots.
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

// admit returns the servers that a request may choose from, out of those with free
// capacity and, where that is scarce, of the preemptable ones; if there are none, the
// Choice describes the refusal.
//
// When nearly all engines are full, every instance sees the same few with a free slot,
// and all send there before they receive each other's reports: 59 instances sent 50
// requests within 150 ms to an engine with four free slots, and those waited until their
// deadline. Each request therefore draws slots at random, and only about as many requests
// draw as there are slots. The others are refused while their callers still have time to
// retry. In a burst that fills 140 engines of 16 slots, 13 of 100 requests go to an
// engine with 14 or more in place of 73, and engines preempt 212 requests in place of
// 722.
//
// The servers are the given share of those that all instances choose from.
func (b *Board) admit(open, preemptable []availableServer, work *Work, share float64, now monotime.Instant) ([]availableServer, Choice) {
	if work.Prompt == 0 {
		return open, Choice{}
	}
	if b.contention.others == 0 {
		if len(open) == 0 {
			return preemptable, Choice{}
		}
		return open, Choice{}
	}
	unreported, free := share*b.contention.unreported(work.Priority, now), 0
	for _, s := range open {
		if s.memory == 0 {
			return open, Choice{} // not an engine: requests wait for a slot
		}
		free += s.freeSlots
	}
	if free > 0 && float64(free) >= contendedBelow*unreported {
		return open, Choice{}
	}
	open = append(open, preemptable...)
	for _, s := range preemptable {
		free += s.freeSlots
	}
	if b.rand.Float64()*unreported >= float64(free) {
		return nil, Choice{Free: int(float64(free) / share), Unreported: int(unreported / share)}
	}
	out := b.cacheHolders(open, work)
	for range draws {
		out = append(out, drawSlot(open, b.rand.IntN(free)))
	}
	return out, Choice{}
}

// drawSlot returns the engine that a slot, counted over all free ones, belongs to.
func drawSlot(open []availableServer, slot int) availableServer {
	for _, s := range open {
		if slot -= s.freeSlots; slot < 0 {
			return s
		}
	}
	return availableServer{} // unreachable: slot is below the sum of free slots
}

// cacheHolders returns up to maxCacheHolders random engines of those that cache the
// longest shared start of a prompt.
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
