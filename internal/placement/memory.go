package placement

// An engine keeps the whole prompt and what it has generated of each request
// that runs. When its memory is full it preempts some and reads them in again
// later, which costs time and wastes what was read.

// usableMemoryShare is the part of an engine's memory that running requests may fill
// by this instance's account. The rest is for requests that peers began and that
// this instance has not heard of.
const usableMemoryShare = 0.9

// holdMemory notes the memory of a request that begins.
func (s *server) holdMemory(work *Work) {
	s.inUse += s.addedTokens(work)
	for _, part := range work.Parts {
		s.partHolders[part.ID]++
	}
}

// releaseMemory gives the memory of a request back that ended.
func (s *server) releaseMemory(work *Work) {
	for _, part := range work.Parts {
		s.partHolders[part.ID]--
		if s.partHolders[part.ID] <= 0 {
			delete(s.partHolders, part.ID)
		}
	}
	s.inUse -= s.addedTokens(work)
}

// addedTokens is the memory in tokens that a request needs beyond what others hold.
func (s *server) addedTokens(work *Work) int {
	tokens, listed := work.Output, 0
	for _, part := range work.Parts {
		listed += part.Tokens
		if s.partHolders[part.ID] == 0 {
			tokens += part.Tokens
		}
	}
	return tokens + max(0, work.Prompt-listed)
}

// hasMemory reports whether a request fits beside those that run. One that runs
// alone always does, as far as placement knows.
func (s *server) hasMemory(work *Work) bool {
	return len(s.runs) == 0 || s.inUse+s.addedTokens(work) <= int(usableMemoryShare*float64(s.memory))
}
