package placement

import (
	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/monotime"
)

// In a large pool most engines are alike to a request: idle, without its prompt. A choice
// therefore considers the engines that cache the start of the prompt, the homes of the
// prompt, on which all instances agree without a message, and a random sample of the
// others, which grows while nothing suitable is found. The work of a choice is bounded,
// whatever the size of the pool.

const (
	// maxWholePool is the largest pool of which every server is considered.
	maxWholePool = 256
	// maxHolders is the number of engines considered for caching the start of a prompt,
	// and maxKnownHolders the number recorded for each part of a prompt.
	maxHolders, maxKnownHolders = 8, 64
	// homes is the number of engines considered as homes of a prompt in the own data
	// centre, and again in the whole pool.
	homes = 2
	// firstSample is the number of other servers considered at first, and maxSample the
	// largest number; each sample is sampleGrowth times as large as the one before. If
	// none of maxSample random servers has a free slot, fewer than one in a hundred has
	// one, with a probability of 0.99.
	firstSample, sampleGrowth, maxSample = 32, 4, 512
	// intendedSample is the number of engines considered of those that are intended for
	// the request.
	intendedSample = 8
	// otherDataCentres is the divisor of a sample taken from the whole pool; the rest is
	// taken from the own data centre.
	otherDataCentres = 4
	// minSatisfactory is the share of a request's weight from which on an engine that
	// caches its prompt, or its home, is taken without examining others. That is so only
	// for prompts that share at least minFetchTokens: shorter ones are read soon
	// anywhere, and those of all callers may begin alike.
	minSatisfactory = 0.9
	// homeSlotsDivisor is the divisor of an engine's slots from which on others are
	// considered as well.
	homeSlotsDivisor = 2
)

// ChooseFrom is Choose among the servers of a pool for which allowed holds. Parts of a
// prompt may also be fetched from the servers of sources, which may be nil and whose
// candidates are marked SourceOnly.
func (b *Board) ChooseFrom(work Work, pool, sources *Pool, allowed func(*Candidate) bool, now monotime.Instant) (Choice, Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin(&work, now)
	if pool.Len() > 0 && areBrittle(pool.candidates) {
		return b.chooseShared(&work, pool, sources, allowed, now)
	}
	b.updateSplit(pool.candidates, now)
	if pool.Len() <= maxWholePool {
		return b.decide(&work, append(pool.filter(allowed), sources.filter(allowed)...), 1, now)
	}
	list := newShortlist(pool, allowed)
	b.addHolders(list, sources, &work)
	b.addHomes(list, &work)
	if work.sharedTokens() >= minFetchTokens {
		choice, refusal := b.choose(&work, list.candidates, list.share(), now)
		if refusal == Chosen && b.satisfactory(&choice, &work) {
			return choice, refusal
		}
	}
	b.addIntended(list, &work)
	b.addPreferred(list, now)
	offset := b.rand.Uint64()
	for sample := firstSample; sample < maxSample; sample *= sampleGrowth {
		b.addSample(list, sample, offset)
		if choice, refusal := b.choose(&work, list.candidates, list.share(), now); refusal == Chosen {
			return choice, refusal
		}
	}
	b.addSample(list, maxSample, offset)
	if list.accepting == 0 {
		return b.decide(&work, append(list.candidates, pool.filter(allowed)...), 1, now)
	}
	return b.decide(&work, list.candidates, list.share(), now)
}

// sharedTokens returns the length of the start of the prompt that other requests may share.
func (w *Work) sharedTokens() int { return tokensOf(w.Parts[:max(0, len(w.Parts)-1)]) }

func tokensOf(parts []Part) (tokens int) {
	for _, part := range parts {
		tokens += part.Tokens
	}
	return tokens
}

// satisfactory reports whether a request probably loses little by the choice, also if
// others that are not reported yet go there too.
func (b *Board) satisfactory(choice *Choice, work *Work) bool {
	slots := b.servers[choice.Server].slots
	return choice.Running < slots/homeSlotsDivisor && choice.Value-choice.SplitCost >= minSatisfactory*work.weight()
}

// addHolders adds engines that cache the longest starts of a prompt. Starts of fewer than
// minFetchTokens, or of less than half of what the prompt shares, are left out: those of
// all callers may begin alike, and few engines of the many that cache them are known.
func (b *Board) addHolders(list *shortlist, sources *Pool, work *Work) {
	shortest := max(minFetchTokens, work.sharedTokens()/2)
	for i := len(work.Parts) - 2; i >= 0 && tokensOf(work.Parts[:i+1]) >= shortest; i-- {
		held := b.holders[work.Parts[i].ID]
		offset := b.rand.IntN(max(1, len(held)))
		for n := range held {
			if len(list.candidates) >= maxHolders {
				return
			}
			s := held[(offset+n)%len(held)]
			if !list.addID(s.id) {
				list.addSource(sources, s.id)
			}
		}
	}
}

// addHomes adds the homes of the whole start that a prompt shares with others.
func (b *Board) addHomes(list *shortlist, work *Work) {
	if len(work.Parts) < 2 {
		return
	}
	start := xxhash.New()
	for _, part := range work.Parts[:len(work.Parts)-1] {
		_, _ = start.WriteString(part.ID)
	}
	key := start.Sum64()
	for _, r := range []ring{list.pool.byDataCentre[b.dataCentre], list.pool.all} {
		list.addFrom(r, key, homes)
	}
}

// addIntended adds some engines that are intended for a request by the split of its
// service. A sample need not contain any of a small part.
func (b *Board) addIntended(list *shortlist, work *Work) {
	engines := b.kindOf(list.pool.candidates[0].Service).split.intended(work)
	if len(engines) == 0 {
		return
	}
	offset := b.rand.IntN(len(engines))
	for n := range min(intendedSample, len(engines)) {
		list.addID(engines[(offset+n)%len(engines)].id)
	}
}

// addSample adds so many servers from an offset that differs by request, most of them of
// the own data centre.
func (b *Board) addSample(list *shortlist, size int, offset uint64) {
	local := list.pool.byDataCentre[b.dataCentre]
	list.addFrom(local, offset, size-size/otherDataCentres)
	list.addFrom(list.pool.all, offset, size-min(len(local), size-size/otherDataCentres))
}

// shortlist is the list of servers that a choice considers.
type shortlist struct {
	pool       *Pool
	allowed    func(*Candidate) bool
	candidates []Candidate
	// examined holds the indexes in the pool of the servers examined, allowed or not.
	examined map[int]bool
	// accepting is the number of candidates that take requests.
	accepting int
}

func newShortlist(pool *Pool, allowed func(*Candidate) bool) *shortlist {
	return &shortlist{pool: pool, allowed: allowed, examined: make(map[int]bool)}
}

// share returns the part of the pool that was examined.
func (l *shortlist) share() float64 {
	return float64(max(1, len(l.examined))) / float64(max(1, l.pool.Len()))
}

// addFrom adds the servers at n places of a ring, beginning at a hash.
func (l *shortlist) addFrom(r ring, hash uint64, n int) {
	if len(r) == 0 {
		return
	}
	position := r.from(hash)
	for i := range min(n, len(r)) {
		l.add(r.at(position, i))
	}
}

// add adds a server of the pool if it is allowed and not listed yet.
func (l *shortlist) add(index int) {
	if l.examined[index] {
		return
	}
	l.examined[index] = true
	c := &l.pool.candidates[index]
	if l.allowed(c) {
		l.candidates = append(l.candidates, *c)
		l.accepting++
	}
}

// addID adds a server by its id. It reports whether the pool has it.
func (l *shortlist) addID(id string) bool {
	i, ok := l.pool.index[id]
	if ok {
		l.add(i)
	}
	return ok
}

// addSource adds a server that parts may be fetched from, if sources has it.
func (l *shortlist) addSource(sources *Pool, id string) {
	c, ok := sources.find(id)
	if !ok || !l.allowed(c) {
		return
	}
	l.candidates = append(l.candidates, *c)
}
