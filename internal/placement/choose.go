package placement

import (
	"hash/fnv"
	"math"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

// firstEventSpread is the relative uncertainty of a predicted time to the first event. A
// smaller one counts a first event predicted just within its goal as certainly on time.
const firstEventSpread = 0.12

// Terms of the cost of a choice, in the unit of Work.weight: a request on time instead of
// late or failed.
const (
	// readCost is the cost of reading a thousand tokens, cached elsewhere or not. It is
	// small: it decides only between servers that are all on time.
	readCost = 0.002
	// distanceCost is the cost of a server in another data centre.
	distanceCost = 0.004
	// loadCost is the cost of a server that is no engine when all of its slots are taken,
	// and proportionally less when some are.
	loadCost = 0.03
	// tieBreakCost makes all instances of a data centre prefer the same ones among such
	// servers of equal load.
	tieBreakCost = 0.0015
	// fullCost is the cost of each multiple of its slots by which the load of a server
	// that is no engine exceeds them.
	fullCost = 2.0
	// failureCost is the cost of a certain failure, times the weight of the request.
	failureCost = 1.0
)

// minSpeedup decides when a request that waits in the queue of a server moves to another
// one: if its first event is predicted there within the time that it has waited, divided
// by minSpeedup. A smaller factor gives up its position for too small a gain.
const minSpeedup = 2

// Choice is the server chosen for a request, with the predictions that decided it.
type Choice struct {
	// Server is the chosen incarnation.
	Server string
	// Unread is the number of prompt tokens that it has to read.
	Unread int
	// First is the predicted time to the first event, from now.
	First time.Duration
	// Gap is the longest predicted pause between the request's events.
	Gap time.Duration
	// LatePause is the probability that a pause exceeds the limit of the request.
	LatePause float64
	// uncorrected is LatePause without the correction by earlier streams.
	uncorrected float64
	// End is the predicted time to the last event, from now.
	End time.Duration
	// Value is the expected value of the request, less what streams that are at least as
	// urgent lose by it.
	Value float64
	// LostProbability is the probability that the request ends, or begins, after its
	// caller has left.
	LostProbability float64
	// Running is the number of tracked runs on the server, and Preempts whether they take
	// all of its slots, so that it preempts one.
	Running  int
	Preempts bool
	// FetchFrom is the server to fetch the start of the prompt from; empty to read it.
	FetchFrom string
	// Connected is set if the instance has an idle connection to the server, and InsteadOf
	// is the server that would have been chosen without regard to connections; empty if it
	// is the same. Both are set in a large fleet that prefers open connections.
	Connected bool
	InsteadOf string
	// Cost of the choice; the candidate with the lowest cost is chosen.
	Cost float64
	// SplitCost is the part of Cost that is due to an engine intended for other requests.
	SplitCost float64
	// Free is the number of slots that were free for the request, set with AllFull, and
	// Unreported the estimated number of requests that other instances have sent to them
	// and not reported yet.
	Free, Unreported int
	// Reserved is the number of slots that more urgent requests are expected to need
	// until the request would end, set where this was the reason for AllFull.
	Reserved int
	// Ahead are the prompts that the server is expected to read first.
	Ahead Ahead
	// Brittle is set if the server is brittle: the request may be sent with BeginOnBrittle
	// only.
	Brittle bool
}

// Choose returns the candidate with the lowest cost, or the reason for choosing none.
func (b *Board) Choose(work Work, candidates []Candidate, now monotime.Instant) (Choice, Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin(&work, now)
	b.updateSplit(candidates, now)
	return b.decide(&work, candidates, 1, now)
}

// decide is choose for the last list of candidates of a request: a refusal counts.
func (b *Board) decide(work *Work, candidates []Candidate, share float64, now monotime.Instant) (Choice, Refusal) {
	choice, refusal := b.choose(work, candidates, share, now)
	if refusal == AllFull {
		b.recordRefusal(work, now)
	}
	return choice, refusal
}

// begin prepares a choice for work.
func (b *Board) begin(work *Work, now monotime.Instant) {
	b.sweep(now)
	if work.Prompt > 0 {
		b.goals[work.kind()] = work.Goal
	}
}

// choose is Choose without the count of refusals. The candidates are the given share of
// the servers.
func (b *Board) choose(work *Work, candidates []Candidate, share float64, now monotime.Instant) (Choice, Refusal) {
	found := b.survey(work, candidates, now)
	if len(found.accepting) == 0 {
		return Choice{}, NoneReachable
	}
	considered, refused := found.available, Choice{}
	if !found.brittle {
		considered, refused = b.admit(found.available, found.preemptable, work, share, now)
	}
	if len(considered) == 0 {
		return refused, AllFull
	}
	best := b.cheapest(considered, found.reachable, work, share, now)
	best.Brittle = found.brittle
	chosen := b.servers[best.Server]
	if chosen.memory == 0 {
		return best, Chosen
	}
	best.Preempts = best.Running >= chosen.slots
	best.Ahead = chosen.queue.promptsAhead(work, chosen.begun+1)
	if best.notWorthwhile() && best.Running > 0 && chosen.kind.hasEnoughSamples() {
		return best, NotWorthwhile
	}
	if work.Waited > 0 && minSpeedup*best.First > work.Waited {
		return best, NotWorthwhile
	}
	free := float64(found.free) / share
	if reserved := b.reservedSlots(work, best.End-best.First, now); free < reserved {
		return Choice{Free: int(free), Reserved: int(reserved)}, AllFull
	}
	return best, Chosen
}

// recordRefusal counts a request that got no slot. A request that waits at a server
// already is not counted: it stays there.
func (b *Board) recordRefusal(work *Work, now monotime.Instant) {
	if work.Waited == 0 {
		b.contention.refused[priorityIndex(work.Priority)].add(now)
	}
}

// cheapest returns the choice with the lowest cost among the considered servers.
func (b *Board) cheapest(considered []availableServer, reachable []*server, work *Work, share float64, now monotime.Instant) Choice {
	from := bestSource(reachable, work, now)
	b.meanRead = meanReadShare(considered, now)
	b.meanUrgent = mean(considered, func(s *server) float64 { return s.queue.moreUrgentShare(work.Priority, now) })
	b.meanHazard = 0
	if work.MaxGap > 0 {
		b.meanHazard = mean(considered, func(s *server) float64 { return s.hazards[work.MaxGap].perSecond(now) })
	}
	spread := b.newSpread(share, now)
	best := Choice{Cost: math.Inf(1)}
	for i, s := range considered {
		choice := b.evaluate(s, work, from, now)
		spread.addTo(&choice, s.server)
		if i == 0 || choice.Cost < best.Cost {
			best = choice
		}
	}
	spread.record(&best)
	return best
}

// notWorthwhile reports whether it is better to refuse a request, while its caller has
// time to retry, than to place it.
func (c *Choice) notWorthwhile() bool {
	return c.Value < minValue || c.LostProbability > maxLostProbability
}

// minSamplesToRefuse is the number of samples of a service's engines from which on
// predictions may lead to a refusal. With fewer, engines ten times faster than the prior
// would be taken as overloaded by work that they complete in no time.
const minSamplesToRefuse = 100

func (k *engineKind) hasEnoughSamples() bool { return k.model.Samples() >= minSamplesToRefuse }

// evaluate predicts the outcome of placing work on s, with the cheaper of reading and
// fetching the cached start of the prompt.
func (b *Board) evaluate(s availableServer, work *Work, from source, now monotime.Instant) Choice {
	choice := Choice{Server: s.id, Running: len(s.runs)}
	weight := work.weight()
	choice.Cost = weight * failureCost * s.failures
	if s.dataCentre != b.dataCentre {
		choice.Cost += distanceCost
	}
	if s.memory == 0 {
		// Not an engine: requests wait once all slots are taken.
		load := float64(len(s.runs)) / float64(max(1, s.slots))
		choice.Cost += loadCost*load + fullCost*math.Max(0, load-1) + tieBreakCost*hashFraction(s.id+b.dataCentre)
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

// evaluateEngine adds to choice the predicted outcome of work on an engine with a plan.
func (b *Board) evaluateEngine(s availableServer, speed *pace.Pace, work *Work, p plan, now monotime.Instant, choice Choice) Choice {
	o := b.predict(s, speed, work, p, now)
	weight := work.weight()
	choice.Unread, choice.FetchFrom = p.unread, p.from
	choice.First, choice.Gap, choice.End, choice.LostProbability = o.first, o.gap, o.end, o.lost
	choice.SplitCost = o.split
	choice.LatePause, choice.uncorrected = o.pausing, o.uncorrected
	choice.Value = weight*(1-max(o.lost, lateLossShare*o.late)) - o.harm.upTo(work.Priority)
	choice.Cost += p.cost + readCost*float64(p.unread)/1000 +
		weight*max(o.late, o.lost, o.full) + o.harm.upTo(lastPriorityIndex) + o.split
	return choice
}

// prediction is the expected course of a request on an engine.
type prediction struct {
	// first, gap and end are times, see Choice.
	first, gap, end time.Duration
	// late is the probability that the first event or a pause exceeds its limit, lost
	// that the request ends or begins after its caller has left, and full that the engine
	// has no free slot when the request arrives.
	late, lost, full float64
	// pausing is the probability that a pause exceeds its limit, and uncorrected the same
	// without the correction by earlier streams.
	pausing, uncorrected float64
	// harm is what the other streams on the engine lose, by priority.
	harm byPriority
	// split is the cost of an engine that is intended for other requests.
	split float64
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

	late := b.latePauses(s.server, now)
	o.uncorrected = s.pauseProbability(&late, speed, work, unread, life, b.meanHazard*s.kind.split.hazardShare(s.server, work), now)
	o.pausing = late.correct(s.kind, o.uncorrected, work.MaxGap)
	o.late = 1 - (1-lateFirst(o.first, work.Goal))*(1-o.pausing)
	o.lost = 1 - (1-lateEndIfBounded(o.end, work.Left))*(1-lateEndIfBounded(o.first, work.FirstLeft))
	o.full = fullProbability(s.arrivals.perSecondAt(now)*b.contention.reportDelay().Seconds(), s.freeSlots)
	o.harm = s.pauseHarm(&late, speed, unread, withWork)
	if s.kind.split.inEffect() {
		o.split = s.kind.split.cost(s.server, work, s.gap(speed, unread, runs), o.gap, speed.Read(p.unread, work.Prompt))
	}
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

// streamDelay returns by how much the streams of an engine end later because of work:
// they pause while its unread tokens are read, and each of their steps takes a little
// longer while it runs.
func streamDelay(speed *pace.Pace, unread int, work *Work) time.Duration {
	return speed.Read(unread, work.Prompt) + time.Duration(work.Output)*speed.StepPerRun
}

// lateFirst returns the probability that a first event misses its goal.
func lateFirst(first, goal time.Duration) float64 {
	return logistic(float64(first-goal) / (firstEventSpread * float64(max(first, 1))))
}

// lateFirstRate returns the derivative of lateFirst by first, per second.
func lateFirstRate(first, goal time.Duration) float64 {
	if goal <= 0 {
		return 0
	}
	first = max(minDuration, first)
	late := lateFirst(first, goal)
	return late * (1 - late) * goal.Seconds() / (firstEventSpread * first.Seconds() * first.Seconds())
}

// rereadWindow is the time after its last use within which reading a part again counts as
// waste. It is the window by which operators count rereads; with another one, choices
// would save rereads that are not counted, or ignore some that are.
const rereadWindow = 10 * time.Second

// rereadTokens returns the number of tokens that s would read although some engine has
// read them within rereadWindow. The last part is the request's own and is never counted.
func (b *Board) rereadTokens(s *server, work *Work, now monotime.Instant) int {
	if len(work.Parts) == 0 {
		return 0
	}
	tokens, cached := 0, true
	for _, part := range work.Parts[:len(work.Parts)-1] {
		cached = cached && s.cache.has(part.ID)
		at, used := b.partUsedAt[part.ID]
		if !cached && used && now.Sub(at) <= rereadWindow {
			tokens += part.Tokens
		}
	}
	return tokens
}

func logistic(x float64) float64 {
	return 1 / (1 + math.Exp(-x))
}

// hashFraction maps an id to [0, 1), identically on every instance.
func hashFraction(id string) float64 {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return float64(hash.Sum32()) / (1 << 32)
}
