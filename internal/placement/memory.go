package placement

// An engine keeps the whole prompt and what it has generated of each request
// that runs. When its memory is full it preempts some and reads them in again
// later, which costs time and wastes what was read.

// memoryShare is the part of an engine's memory that running requests may fill
// by this instance's account. The rest is for requests that peers began and that
// this instance has not heard of.
const memoryShare = 0.9

// hold notes the memory of a request that begins.
func (s *server) hold(work *Work) {
	s.inUse += s.adds(work)
	for _, part := range work.Parts {
		s.holders[part.ID]++
	}
}

// letGo gives the memory of a request back that ended.
func (s *server) letGo(work *Work) {
	for _, part := range work.Parts {
		s.holders[part.ID]--
		if s.holders[part.ID] <= 0 {
			delete(s.holders, part.ID)
		}
	}
	s.inUse -= s.adds(work)
}

// adds is the memory in tokens that a request needs beyond what others hold.
func (s *server) adds(work *Work) int {
	tokens, listed := work.Output, 0
	for _, part := range work.Parts {
		listed += part.Tokens
		if s.holders[part.ID] == 0 {
			tokens += part.Tokens
		}
	}
	return tokens + max(0, work.Prompt-listed)
}

// hasMemory reports whether a request fits beside those that run. One that runs
// alone always does, as far as placement knows.
func (s *server) hasMemory(work *Work) bool {
	return len(s.runs) == 0 || s.inUse+s.adds(work) <= int(memoryShare*float64(s.memory))
}
