package placement

import (
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

const (
	// minFetchTokens is the minimum number of tokens to fetch: reading that many takes 16
	// ms, not much more than fetching them.
	minFetchTokens = 1000
	// fetchSetup is the fixed time of a fetch besides the transfer, from the data sheet
	// of the engines, with a margin for transfers that queue. If it is too short,
	// requests miss their goal waiting for fetches.
	fetchSetup = 5 * time.Millisecond
	// crossDataCentreFactor is how many times longer a transfer between data centres
	// takes.
	crossDataCentreFactor = 2
	bitsPerByte           = 8
	bitsPerSPerMb         = 1e6
)

// source is the server that caches the longest start of a prompt.
type source struct {
	server *server
	tokens int
}

// bestSource returns the best source among reachable servers.
func bestSource(reachable []*server, work *Work, now monotime.Instant) source {
	var best source
	if len(work.Parts) < 2 {
		return best
	}
	// The last part is the request's own; no other engine has it.
	shared := work.Parts[:len(work.Parts)-1]
	for _, s := range reachable {
		if tokens := s.cache.fetchableTokens(shared, now); tokens > best.tokens {
			best = source{server: s, tokens: tokens}
		}
	}
	return best
}

// plan is a way for an engine to obtain a prompt.
type plan struct {
	// unread is the number of tokens that the engine reads itself.
	unread int
	// from is the server that it fetches the start from; empty for none.
	from string
	// delay is the time until it can begin to read.
	delay time.Duration
	// cost of rereads and transfers.
	cost float64
}

// fetch returns the plan to fetch what a source caches beyond own tokens; false if that
// is not possible or not worthwhile.
func (s *server) fetch(speed *pace.Pace, work *Work, from source, own int) (plan, bool) {
	tokens := from.tokens - own
	if from.server == nil || from.server == s || s.tokenBytes == 0 || s.linkMbps <= 0 || tokens < minFetchTokens {
		return plan{}, false
	}
	bytes := float64(tokens) * float64(s.tokenBytes)
	seconds := bytes * bitsPerByte / (s.linkMbps * bitsPerSPerMb)
	if s.dataCentre != from.server.dataCentre {
		seconds *= crossDataCentreFactor
	}
	return plan{
		unread: max(0, work.Prompt-from.tokens),
		from:   from.server.id,
		delay:  fetchSetup + time.Duration(seconds*float64(time.Second)),
		cost:   fetchWeight * s.kind.wasteCost(speed, tokens),
	}, true
}
