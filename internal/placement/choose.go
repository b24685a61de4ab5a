package placement

import (
	"hash/fnv"
	"math"
	"time"

	"basilrudder/internal/monotime"
)

// Weights of what a choice costs, in the unit of Work.weight: a request on time
// instead of late or failed.
const (
	// rereadCost is what it counts for to read a thousand tokens again that some
	// engine read within rereadWindow: the operators' price.
	rereadCost = 0.088
	// rereadMost bounds that for one request, as a share of its weight: callers
	// come first, so no price of reading makes a choice that is late the better.
	rereadMost = 0.8
	// fetchCost is what a gigabyte fetched from another engine counts for: the
	// operators' price. A usual shared part of 13,000 tokens is 0.47 GB: fetched
	// it costs 0.33 and 8 ms, read again 1.17 and 213 ms.
	fetchCost = 0.72
	// readCost is what reading any thousand tokens counts for. Small: it decides
	// between servers that are all on time.
	readCost = 0.002
	// distanceCost is what a server in another data centre counts for.
	distanceCost = 0.004
	// slowCost is what each share of the goal that the first event takes counts
	// for, while it is on time.
	slowCost = 0.03
	// spreadCost is what it counts for to put a stream with short pauses on an
	// engine that runs none. Such streams share few engines, so that long
	// prompts find others on which they disturb nobody.
	spreadCost = 0.12
	// orderCost prefers among those engines the same ones at every instance.
	orderCost = 0.05
	// exposureCost is what each second of a stream's life counts for, as a share
	// of its weight: streams that run when their server or the instance dies are
	// lost. On days with one loss of everything and one of a quarter of the
	// engines within 45 s that is 0.03.
	exposureCost = 0.03
	// fullCost counts for a server that is no engine and whose slots are all taken.
	fullCost = 2.0
	// failureCost is what a certain failure counts for, times the weight.
	failureCost = 1.0
)

const (
	// ttftSpread is how uncertain a predicted first event is, relative to it.
	ttftSpread = 0.12
	// gapSpread is how uncertain a predicted pause is.
	gapSpread = 7 * time.Millisecond
	// gapReserve is what the way from the server to the caller may add to a pause.
	gapReserve = 12 * time.Millisecond
	// deepPrompt is the length of a prompt beyond which reading it makes pauses
	// long. Streams whose longest pause is below those count as short-paused.
	deepPrompt = 30000
	// comfortable is the share of an engine's slots that streams with short
	// pauses fill before they take another engine.
	comfortable = 0.3
)

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
	// Running is the number of runs believed to be on the server.
	Running int
	// FetchFrom is the server to fetch the start of the prompt from; empty to
	// read it.
	FetchFrom string
	// Cost by which it was chosen.
	Cost float64
	// Free is the number of slots that were free for the request, where AllFull
	// was the answer, and Unheard about how many requests were on their way to
	// them from other instances.
	Free, Unheard int
}

// Refusal says why no server was chosen.
type Refusal uint8

const (
	// Chosen: there is one.
	Chosen Refusal = iota
	// NoneReachable: all were tried in vain a moment ago.
	NoneReachable
	// AllFull: those that can be reached have no room for this priority.
	AllFull
)

// Shares of an engine's slots that are kept free of less urgent work. A request
// that comes to a full engine makes it preempt another one in the middle of its
// stream, which it has to read in again later; with some slots kept, more urgent
// work finds one. Nothing is sent beyond the slots: it would preempt or wait. In
// a burst that fills 140 engines of 16 slots this halves the preemptions.
const (
	keptForFirst  = 16 // a sixteenth, from the second priority
	keptForSecond = 5  // a fifth, from all others
)

// free is the number of an engine's slots that work of this priority may take.
func (s *server) free(work *Work) int {
	most := s.slots
	switch {
	case work.Priority <= 0:
	case work.Priority == 1:
		most -= s.slots / keptForFirst
	default:
		most -= s.slots / keptForSecond
	}
	if len(s.runs) >= most || !s.hasMemory(work) {
		return 0
	}
	return most - len(s.runs)
}

// opening is a server with room for a request.
type opening struct {
	*server
	// room is the number of slots that the request may take. It says nothing of a
	// server that is no engine: its requests wait for one.
	room int
}

// Choose returns the candidate that costs least, or why there is none.
func (b *Board) Choose(work Work, candidates []Candidate, now monotime.Instant) (Choice, Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	reachable := make([]*server, 0, len(candidates))
	open := make([]opening, 0, len(candidates))
	for _, candidate := range candidates {
		s := b.server(candidate)
		if s.retryAt != 0 && now < s.retryAt {
			continue
		}
		reachable = append(reachable, s)
		if free := s.free(&work); free > 0 || s.memory == 0 {
			open = append(open, opening{s, free})
		}
	}
	if len(reachable) == 0 {
		return Choice{}, NoneReachable
	}
	considered, refused := b.admit(open, &work, now)
	if refused != nil {
		return *refused, AllFull
	}
	if len(considered) == 0 {
		return Choice{}, AllFull
	}
	from := bestSource(reachable, &work, now)
	best := Choice{Cost: math.Inf(1)}
	for i, s := range considered {
		choice := b.evaluate(s.server, &work, from, now)
		choice.Cost += b.noise * b.rand.Float64()
		if i == 0 || choice.Cost < best.Cost {
			best = choice
		}
	}
	return best, Chosen
}

// evaluate predicts what happens when work goes to s.
func (b *Board) evaluate(s *server, work *Work, from source, now monotime.Instant) Choice {
	choice := Choice{Server: s.id, Running: len(s.runs)}
	weight := work.weight()
	choice.Cost = weight * failureCost * s.failures
	if s.dataCentre != b.home {
		choice.Cost += distanceCost
	}
	if s.memory == 0 {
		// No engine: requests wait once all slots are taken.
		load := float64(len(s.runs)) / float64(max(1, s.slots))
		choice.Cost += slowCost*load + fullCost*math.Max(0, load-1) + orderCost*orderOf(s.id+b.home)*slowCost
		return choice
	}
	own := s.cache.cached(work.Parts)
	again := rereadCost / 1000 * float64(b.reread(s, work, now))
	read := plan{unread: max(0, work.Prompt-own), cost: min(again, rereadMost*weight)}
	best := b.evaluateEngine(s, work, read, now, choice)
	if fetch, ok := s.fetch(work, from, own); ok {
		if fetched := b.evaluateEngine(s, work, fetch, now, choice); fetched.Cost < best.Cost {
			best = fetched
		}
	}
	return best
}

// evaluateEngine adds to choice what happens when an engine takes work with a plan.
func (b *Board) evaluateEngine(s *server, work *Work, p plan, now monotime.Instant, choice Choice) Choice {
	weight := work.weight()
	runs := len(s.runs)
	choice.Unread, choice.FetchFrom = p.unread, p.from
	choice.Cost += p.cost
	wait := max(p.delay, s.readUntil.Sub(now))
	choice.First = b.pace.First + wait + b.pace.promptTime(choice.Unread, work.Prompt, runs)
	late := float64(choice.First-work.Goal) / (ttftSpread * float64(choice.First))
	ahead := b.ahead(s, now)
	withWork := ahead.with(choice.Unread, work.Prompt)
	choice.Gap = b.gap(s, withWork, runs+1)
	choice.Cost += weight*logistic(late) +
		slowCost*float64(choice.First)/float64(max(work.Goal, time.Millisecond)) +
		readCost*float64(choice.Unread)/1000
	if work.MaxGap > 0 {
		choice.Cost += weight * b.lateGap(b.gap(s, ahead, runs+1), work.MaxGap)
	}
	if b.shortPaused(s, work.MaxGap) {
		choice.Cost += b.concentration(s)
	}
	choice.Cost += b.harm(s, ahead, withWork, runs)
	choice.Cost += b.exposure(s, work, runs)
	return choice
}

// rereadWindow is how long after its last use a part that is read again counts
// as waste: the operators' window.
const rereadWindow = 10 * time.Second

// reread is the number of tokens that s would read although some engine has
// read them lately. The last part is the request's own and is nobody's waste.
func (b *Board) reread(s *server, work *Work, now monotime.Instant) int {
	if len(work.Parts) == 0 {
		return 0
	}
	tokens, kept := 0, true
	for _, part := range work.Parts[:len(work.Parts)-1] {
		kept = kept && s.cache.has(part.ID)
		at, used := b.used[part.ID]
		if !kept && used && now.Sub(at) <= rereadWindow {
			tokens += part.Tokens
		}
	}
	return tokens
}

// harm is what the streams on s lose by the pauses that the new prompt adds.
func (b *Board) harm(s *server, before, after backlog, runs int) float64 {
	was, becomes := b.gap(s, before, runs), b.gap(s, after, runs+1)
	if becomes <= was {
		return 0
	}
	sum := 0.0
	for kind, count := range s.streams {
		added := b.lateGap(becomes, kind.maxGap) - b.lateGap(was, kind.maxGap)
		sum += float64(count) * weightOf(kind.priority) * added
	}
	return sum
}

// exposure is what the time counts for in which work can be lost, and by which
// it draws out the streams beside it: each request makes every step longer.
func (b *Board) exposure(s *server, work *Work, runs int) float64 {
	own := time.Duration(work.Output) * b.pace.plainStep(runs+1)
	drawn := s.outputs * b.pace.StepPerRun.Seconds() / 2
	return exposureCost * (work.weight()*own.Seconds() + drawn)
}

// concentration prefers engines that run streams with short pauses already,
// until those are comfortably full, and then a fixed order of engines.
func (b *Board) concentration(s *server) float64 {
	streams := 0
	for kind, count := range s.streams {
		if b.shortPaused(s, kind.maxGap) {
			streams += count
		}
	}
	cost := orderCost * orderOf(s.id)
	room := comfortable * float64(s.slots)
	if streams == 0 || float64(streams) >= room {
		cost += spreadCost
	}
	return cost
}

// shortPaused reports whether reading long prompts beside it on s makes a stream
// late.
func (b *Board) shortPaused(s *server, maxGap time.Duration) bool {
	deep := backlog{unread: deepPrompt, deepest: deepPrompt}
	return maxGap > 0 && maxGap < b.gap(s, deep, 0)
}

// backlog is what an engine has yet to read.
type backlog struct {
	unread  int
	deepest int // length of the longest prompt among those
}

func (l backlog) with(unread, prompt int) backlog {
	if unread == 0 {
		return l
	}
	return backlog{unread: l.unread + unread, deepest: max(l.deepest, prompt)}
}

func (b *Board) ahead(s *server, now monotime.Instant) backlog {
	var out backlog
	for _, r := range s.pending {
		if r.reading(now) {
			out = out.with(r.unread, r.work.Prompt)
		}
	}
	return out
}

// gap is the longest pause between events of streams on an engine: an event
// takes as many steps as it holds tokens, each of which may read a chunk.
func (b *Board) gap(s *server, l backlog, runs int) time.Duration {
	steps := max(1, s.eventTokens)
	read := min(l.unread, steps*b.pace.Chunk)
	return time.Duration(steps)*b.pace.plainStep(runs) + b.pace.readTime(read, l.deepest)
}

// lateGap is the probability that a predicted pause is above what is on time.
func (b *Board) lateGap(gap, most time.Duration) float64 {
	return logistic(float64(gap+gapReserve-most) / float64(gapSpread))
}

func logistic(x float64) float64 {
	return 1 / (1 + math.Exp(-x))
}

// orderOf maps an id to [0, 1), the same at every instance.
func orderOf(id string) float64 {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return float64(hash.Sum32()) / (1 << 32)
}
