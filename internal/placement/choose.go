package placement

import (
	"hash/fnv"
	"math"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

// firstEventSpread is how uncertain a predicted first event is, relative to it.
const firstEventSpread = 0.12

// Weights of what a choice costs, in the unit of Work.weight: a request on time
// instead of late or failed.
const (
	// readCost is what reading any thousand tokens counts for. Small: it decides
	// between servers that are all on time.
	readCost = 0.002
	// distanceCost is what a server in another data centre counts for.
	distanceCost = 0.004
	// loadCost is what it counts for that all slots of a server that is no engine are
	// taken, in proportion for some of them.
	loadCost = 0.03
	// tieBreakCost prefers among such servers with the same load the same ones at every
	// instance of a data centre.
	tieBreakCost = 0.0015
	// fullCost counts for a server that is no engine and whose slots are all taken.
	fullCost = 2.0
	// failureCost is what a certain failure counts for, times the weight.
	failureCost = 1.0
)

// minSpeedup is by how many times sooner than it has waited a request that waits in the
// queue of a server has to begin at another one to go there.
const minSpeedup = 2

// Choice is the server chosen for a request, with what decided it.
type Choice struct {
	// Server is the chosen incarnation.
	Server string
	// Unread is the number of prompt tokens it has to read.
	Unread int
	// First is when the first event is predicted, from now.
	First time.Duration
	// Gap is the longest pause predicted for the request's events.
	Gap time.Duration
	// End is when the last event is predicted, from now.
	End time.Duration
	// Value is what the request is likely to earn, less what streams as urgent as it
	// lose by it.
	Value float64
	// LostProbability is the probability that it ends, or begins, when its caller has left.
	LostProbability float64
	// Running is the number of runs believed to be on the server.
	Running int
	// FetchFrom is the server to fetch the start of the prompt from; empty to
	// read it.
	FetchFrom string
	// Cost by which it was chosen.
	Cost float64
	// Free is the number of slots that were free for the request, where AllFull
	// was the answer, and Unreported about how many requests were on their way to
	// them from other instances.
	Free, Unreported int
	// Reserved is the number of slots that more urgent requests are expected to need
	// until the request would end, where that was why it got none.
	Reserved int
	// Ahead is what the server is believed to read before the prompt.
	Ahead Ahead
}

// Choose returns the candidate that costs least, or why there is none.
func (b *Board) Choose(work Work, candidates []Candidate, now monotime.Instant) (Choice, Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	if work.Prompt > 0 {
		b.goals[work.kind()] = work.Goal
	}
	found := b.survey(&work, candidates, now)
	if len(found.accepting) == 0 {
		return Choice{}, NoneReachable
	}
	considered, refused := b.admit(found.available, &work, now)
	if len(considered) == 0 {
		b.recordRefusal(&work, now)
		return refused, AllFull
	}
	best := b.cheapest(considered, found.reachable, &work, now)
	chosen := b.servers[best.Server]
	if chosen.memory == 0 {
		return best, Chosen
	}
	best.Ahead = chosen.queue.promptsAhead(&work, chosen.begun+1)
	if best.notWorthwhile() && best.Running > 0 && chosen.kind.hasEnoughSamples() {
		return best, NotWorthwhile
	}
	if work.Waited > 0 && minSpeedup*best.First > work.Waited {
		return best, NotWorthwhile
	}
	if reserved := b.reservedSlots(&work, best.End-best.First, now); float64(found.free) < reserved {
		b.recordRefusal(&work, now)
		return Choice{Free: found.free, Reserved: int(reserved)}, AllFull
	}
	return best, Chosen
}

// recordRefusal notes that a request got no slot; one that has a server is not refused.
func (b *Board) recordRefusal(work *Work, now monotime.Instant) {
	if work.Waited == 0 {
		b.contention.refused[priorityIndex(work.Priority)].add(now)
	}
}

// survey is what is known of the candidates for a request.
type survey struct {
	// reachable are all that are not left out for a while, and accepting those of them that
	// take requests; open are those with room for this one.
	reachable, accepting []*server
	available            []availableServer
	// free is the number of slots that nothing is known to use.
	free int
}

// survey looks at each candidate once.
func (b *Board) survey(work *Work, candidates []Candidate, now monotime.Instant) survey {
	found := survey{
		reachable: make([]*server, 0, len(candidates)),
		accepting: make([]*server, 0, len(candidates)),
		available: make([]availableServer, 0, len(candidates)),
	}
	brief := b.isBrief(work, candidates)
	useReserve := brief && !b.contention.urgentRefused(work.Priority, now)
	for _, candidate := range candidates {
		s := b.server(candidate)
		if s.retryAt != 0 && now < s.retryAt {
			continue
		}
		found.reachable = append(found.reachable, s)
		if candidate.SourceOnly {
			continue
		}
		found.accepting = append(found.accepting, s)
		found.free += s.unusedSlots(now)
		if slots := s.freeSlotsFor(work, useReserve, now); slots > 0 || s.memory == 0 {
			found.available = append(found.available, availableServer{s, slots})
		}
	}
	if !brief {
		found.available = excludeLastSlots(found.available)
	}
	return found
}

// cheapest evaluates the servers that a request chooses from.
func (b *Board) cheapest(considered []availableServer, reachable []*server, work *Work, now monotime.Instant) Choice {
	from := bestSource(reachable, work, now)
	b.meanRead = meanReadShare(considered, now)
	b.meanUrgent = mean(considered, func(s *server) float64 { return s.queue.moreUrgentShare(work.Priority, now) })
	b.meanHazard = 0
	if work.MaxGap > 0 {
		b.meanHazard = mean(considered, func(s *server) float64 { return s.hazards[work.MaxGap].perSecond(now) })
	}
	best := Choice{Cost: math.Inf(1)}
	for i, s := range considered {
		choice := b.evaluate(s, work, from, now)
		choice.Cost += b.costJitter * b.rand.Float64()
		if i == 0 || choice.Cost < best.Cost {
			best = choice
		}
	}
	return best
}

// notWorthwhile reports whether a request is rather refused, while its caller has time to come
// back, than placed.
func (c *Choice) notWorthwhile() bool {
	return c.Value < minValue || c.LostProbability > maxLostProbability
}

// minSamplesToRefuse is the number of samples of a service's engines from which on
// requests are refused for what is predicted of them. Engines ten times faster than
// assumed at first would be taken for full of work that they do in no time.
const minSamplesToRefuse = 100

func (k *engineKind) hasEnoughSamples() bool { return k.model.Samples() >= minSamplesToRefuse }

// evaluate predicts what happens when work goes to s.
func (b *Board) evaluate(s availableServer, work *Work, from source, now monotime.Instant) Choice {
	choice := Choice{Server: s.id, Running: len(s.runs)}
	weight := work.weight()
	choice.Cost = weight * failureCost * s.failures
	if s.dataCentre != b.home {
		choice.Cost += distanceCost
	}
	if s.memory == 0 {
		// No engine: requests wait once all slots are taken.
		load := float64(len(s.runs)) / float64(max(1, s.slots))
		choice.Cost += loadCost*load + fullCost*math.Max(0, load-1) + tieBreakCost*hashFraction(s.id+b.home)
		return choice
	}
	own := s.cache.cachedTokens(work.Parts)
	speed := s.pace(now)
	again := s.kind.wasteCost(&speed, b.rereadTokens(s.server, work, now))
	read := plan{unread: max(0, work.Prompt-own), cost: min(again, maxRereadShare*weight)}
	best := b.evaluateEngine(s, &speed, work, read, now, choice)
	if fetch, ok := s.fetch(&speed, work, from, own); ok {
		if fetched := b.evaluateEngine(s, &speed, work, fetch, now, choice); fetched.Cost < best.Cost {
			best = fetched
		}
	}
	return best
}

// evaluateEngine adds to choice what happens when an engine takes work with a plan.
func (b *Board) evaluateEngine(s availableServer, speed *pace.Pace, work *Work, p plan, now monotime.Instant, choice Choice) Choice {
	o := b.predict(s, speed, work, p, now)
	weight := work.weight()
	choice.Unread, choice.FetchFrom = p.unread, p.from
	choice.First, choice.Gap, choice.End, choice.LostProbability = o.first, o.gap, o.end, o.lost
	choice.Value = weight*(1-max(o.lost, lateLossShare*o.late)) - o.harm.upTo(work.Priority)
	choice.Cost += p.cost + readCost*float64(p.unread)/1000 +
		weight*max(o.late, o.lost, o.full) + o.harm.upTo(lastPriorityIndex)
	return choice
}

// prediction is what is expected of a request on an engine.
type prediction struct {
	// first, gap and end are times, see Choice.
	first, gap, end time.Duration
	// late, lost and full are the probabilities that its first event or a pause
	// comes too late, that it ends too late, and that the engine is full when it
	// comes.
	late, lost, full float64
	// harm is what the streams beside it lose.
	harm byPriority
}

func (b *Board) predict(s availableServer, speed *pace.Pace, work *Work, p plan, now monotime.Instant) prediction {
	var o prediction
	runs := len(s.runs)
	timeAhead := s.queue.timeAhead(work, now)
	own := speed.Prompt(p.unread, work.Prompt, runs)
	urgent := (s.queue.moreUrgentShare(work.Priority, now) + b.meanUrgent) / 2
	o.first = speed.First + max(p.delay+own, delayedByUrgent(timeAhead+own, urgent))
	life := time.Duration(work.Output) * s.tokenTime(speed, runs+1, b.meanRead, now)
	o.end = o.first + life
	unread := s.unreadBacklog(now)
	withWork := unread.with(p.unread, work.Prompt)
	o.gap = s.gap(speed, withWork, runs+1)

	pausing := s.pauseProbability(speed, work, unread, life, b.meanHazard, now)
	o.late = 1 - (1-lateFirst(o.first, work.Goal))*(1-pausing)
	o.lost = 1 - (1-lateEndIfBounded(o.end, work.Left))*(1-lateEndIfBounded(o.first, work.FirstLeft))
	o.full = fullProbability(s.arrivals.perSecondAt(now)*b.contention.reportDelay().Seconds(), s.freeSlots)
	o.harm = s.pauseHarm(speed, unread, withWork)
	streamsDelayed := streamDelay(speed, p.unread, work).Seconds()
	harm := b.delayCostOf(s.server, speed, b.meanRead, now)
	for priority, perSecond := range harm.running {
		o.harm[priority] += perSecond * streamsDelayed
	}
	for priority := priorityIndex(work.Priority) + 1; priority <= lastPriorityIndex; priority++ {
		o.harm[priority] += harm.waiting[priority] * readingTime(speed, p.unread, work.Prompt, runs).Seconds()
	}
	return o
}

// streamDelay is how much later the streams of an engine end for work with so many tokens
// to read: they wait while it is read, and each of their steps takes a little longer
// while it runs.
func streamDelay(speed *pace.Pace, unread int, work *Work) time.Duration {
	return speed.Read(unread, work.Prompt) + time.Duration(work.Output)*speed.StepPerRun
}

// lateFirst is the probability that a first event is too late.
func lateFirst(first, goal time.Duration) float64 {
	return logistic(float64(first-goal) / (firstEventSpread * float64(max(first, 1))))
}

// lateFirstRate is how much lateFirst grows with each second of first.
func lateFirstRate(first, goal time.Duration) float64 {
	if goal <= 0 {
		return 0
	}
	first = max(minDuration, first)
	late := lateFirst(first, goal)
	return late * (1 - late) * goal.Seconds() / (firstEventSpread * first.Seconds() * first.Seconds())
}

// rereadWindow is how long after its last use a part that is read again counts
// as waste: the operators' window.
const rereadWindow = 10 * time.Second

// rereadTokens is the number of tokens that s would read although some engine has
// read them lately. The last part is the request's own and is nobody's waste.
func (b *Board) rereadTokens(s *server, work *Work, now monotime.Instant) int {
	if len(work.Parts) == 0 {
		return 0
	}
	tokens, kept := 0, true
	for _, part := range work.Parts[:len(work.Parts)-1] {
		kept = kept && s.cache.has(part.ID)
		at, used := b.partUsedAt[part.ID]
		if !kept && used && now.Sub(at) <= rereadWindow {
			tokens += part.Tokens
		}
	}
	return tokens
}

func logistic(x float64) float64 {
	return 1 / (1 + math.Exp(-x))
}

// hashFraction maps an id to [0, 1), the same at every instance.
func hashFraction(id string) float64 {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return float64(hash.Sum32()) / (1 << 32)
}
