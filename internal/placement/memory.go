package placement

// An engine holds the whole prompt and the generated output of each running request. When
// its memory is full, it preempts some and reads them again later, which costs time and
// wastes the first read.

// usableMemoryShare is the part of an engine's memory that tracked requests may fill. The
// rest is for requests of peers that have not been reported yet; with a larger share
// these cause preemptions.
const usableMemoryShare = 0.9

// holdMemory adds the memory of a request that begins.
func (s *server) holdMemory(work *Work) {
	s.inUse += s.addedTokens(work)
	for _, part := range work.Parts {
		put(&s.partHolders, part.ID, s.partHolders[part.ID]+1)
	}
}

// releaseMemory subtracts the memory of a request that ended.
func (s *server) releaseMemory(work *Work) {
	for _, part := range work.Parts {
		s.partHolders[part.ID]--
		if s.partHolders[part.ID] <= 0 {
			drop(&s.partHolders, part.ID)
		}
	}
	s.inUse -= s.addedTokens(work)
}

// addedTokens returns the memory in tokens that a request needs beyond the parts that
// other requests hold.
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

// hasMemory reports whether a request fits beside the running ones. A request on an
// engine without others always counts as fitting.
func (s *server) hasMemory(work *Work) bool {
	return len(s.runs) == 0 || s.inUse+s.addedTokens(work) <= int(usableMemoryShare*float64(s.memory))
}
