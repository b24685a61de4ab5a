package placement

import (
	"time"

	"basilrudder/internal/monotime"
)

// updateSplit updates the split of the service of some candidates when it is due. Servers
// that are not known yet are added, since the ranking needs all of them.
func (b *Board) updateSplit(candidates []Candidate, now monotime.Instant) {
	if len(candidates) == 0 || candidates[0].MemoryTokens == 0 {
		return
	}
	kind := b.kindOf(candidates[0].Service)
	split := &kind.split
	if !b.enabled(b.features.SplitEngines, now) {
		if split.strength > 0 || len(split.demand) > 0 {
			*split = engineSplit{}
		}
		return
	}
	if split.since == 0 || now.Sub(split.updatedAt) < splitInterval+time.Duration(len(split.ranking))*splitIntervalPerEngine {
		return
	}
	for i := range candidates {
		if c := &candidates[i]; !c.SourceOnly {
			b.server(*c).listedAt = now
		}
	}
	engines := split.ranking[:0]
	for _, s := range b.servers {
		if s.kind == kind && s.memory > 0 && s.listedAt != 0 && now.Sub(s.listedAt) <= listedMaxAge {
			engines = append(engines, s)
		}
	}
	if len(engines) > 0 {
		split.update(engines, pauseModel{kind.model.Pace(), engines[0].eventTokens}, now)
	}
}

// EngineSplits returns the split of the engines of each service for which it was decided,
// also if there is none.
func (b *Board) EngineSplits() map[string]EngineSplit {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]EngineSplit)
	for service, kind := range b.kinds {
		if kind.split.state.Engines > 0 {
			out[service] = kind.split.state
		}
	}
	return out
}
