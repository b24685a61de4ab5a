package placement

import (
	"math"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

// Reading a long prompt makes the streams beside it pause. A stream that paused
// once for longer than its caller allows is late for good, whatever follows, so an
// engine that reads long prompts now and then is no place for streams with short
// pauses, also in a moment when it reads none.

const (
	// gapSpread is how uncertain a predicted pause is, relative to it, and gapLeast
	// the least of it.
	gapSpread    = 0.08
	minGapSpread = 3 * time.Millisecond
	// gapMargin is what the way from the server to the caller may add to a pause.
	gapMargin = 12 * time.Millisecond
	// hazardWindow is the time over which the rate of too long pauses is averaged.
	hazardWindow = 3 * time.Second
	// gapLimitMaxAge is how long a bound of pauses is kept after its last use.
	gapLimitMaxAge = time.Minute
)

// hazard is how often a pause on an engine is longer than a bound, as of an instant.
type hazard struct {
	weighted float64
	at       monotime.Instant
}

func (h *hazard) add(p float64, now monotime.Instant) {
	*h = hazard{weighted: h.weighted*decay(now.Sub(h.at), hazardWindow) + p, at: now}
}

// perSecond is the rate of such pauses; h may be nil.
func (h *hazard) perSecond(now monotime.Instant) float64 {
	if h == nil {
		return 0
	}
	return h.weighted * decay(now.Sub(h.at), hazardWindow) / hazardWindow.Seconds()
}

func decay(passed, window time.Duration) float64 {
	return math.Exp(-passed.Seconds() / window.Seconds())
}

// onTimeStreams is how many of the streams of a kind on an engine are likely not to have
// paused too long yet.
type onTimeStreams struct {
	expected float64
	// survival is the share of a stream that was punctual at the start of all which
	// still is.
	survival float64
}

// backlog is what an engine has yet to read.
type backlog struct {
	unread  int
	longest int // length of the longest prompt among those
}

func (l backlog) with(unread, prompt int) backlog {
	if unread == 0 {
		return l
	}
	return backlog{unread: l.unread + unread, longest: max(l.longest, prompt)}
}

func (s *server) unreadBacklog(now monotime.Instant) backlog {
	var out backlog
	s.queue.advance(now)
	for _, r := range s.queue.runs {
		if r.reading() {
			out = out.with(r.unread, r.work.Prompt)
		}
	}
	return out
}

// gap is the longest pause between events of streams on an engine: an event
// takes as many steps as it holds tokens, each of which may read a chunk.
func (s *server) gap(speed *pace.Pace, l backlog, runs int) time.Duration {
	steps := max(1, s.eventTokens)
	read := min(l.unread, steps*pace.Chunk)
	return time.Duration(steps)*speed.DecodeStep(runs) + speed.Read(read, l.longest)
}

// lateGap is the probability that a predicted pause is above what is on time.
func lateGap(gap, limit time.Duration) float64 {
	spread := max(minGapSpread, time.Duration(gapSpread*float64(gap)))
	return logistic(float64(gap+gapMargin-limit) / float64(spread))
}

// pauseProbability is the probability that a stream placed on s pauses too long while it
// lives: for what is to be read now, or for what will come. Long prompts go where
// they make the fewest streams late, so an engine without such streams draws them
// at least as often as the mean of all, and one that has some is spared. Streams
// with short pauses thereby share engines as soon as long prompts come, and spread
// when none do.
func (s *server) pauseProbability(speed *pace.Pace, work *Work, ahead backlog, life time.Duration, mean float64, now monotime.Instant) float64 {
	if work.MaxGap == 0 {
		return 0
	}
	kept := 1 - lateGap(s.gap(speed, ahead, len(s.runs)+1), work.MaxGap)
	rate := s.hazards[work.MaxGap].perSecond(now) + mean*math.Exp(-s.exposedStreams())
	return 1 - kept*math.Exp(-rate*life.Seconds())
}

// exposedStreams is the number of streams on s that a long pause would make late.
func (s *server) exposedStreams() float64 {
	sum := 0.0
	for _, p := range s.onTime {
		sum += p.expected
	}
	return sum
}

// pauseHarm is what the streams on s lose by the pauses that a new prompt adds, by
// priority.
func (s *server) pauseHarm(speed *pace.Pace, before, after backlog) byPriority {
	var out byPriority
	for kind, p := range s.onTime {
		out[priorityIndex(kind.priority)] += p.expected * weightOf(kind.priority) * s.addedLateGap(speed, before, after, kind.maxGap)
	}
	return out
}

// addedLateGap is how much likelier a pause above most becomes by a new prompt.
func (s *server) addedLateGap(speed *pace.Pace, before, after backlog, limit time.Duration) float64 {
	runs := len(s.runs)
	return max(0, lateGap(s.gap(speed, after, runs+1), limit)-lateGap(s.gap(speed, before, runs), limit))
}

// recordPauses takes into account what a run that begins on s does to the pauses
// there, for all bounds of pauses in use. The run is not yet on s.
func (b *Board) recordPauses(s *server, r *run, now monotime.Instant) {
	speed := s.pace(now)
	before := s.unreadBacklog(now)
	if r.unread > 0 {
		after := before.with(r.unread, r.work.Prompt)
		for most := range b.gapLimitUsedAt {
			s.hazardOf(most).add(s.addedLateGap(&speed, before, after, most), now)
		}
		for kind, p := range s.onTime {
			still := 1 - s.addedLateGap(&speed, before, after, kind.maxGap)
			p.expected *= still
			p.survival *= still
		}
	}
	if r.work.MaxGap > 0 {
		b.gapLimitUsedAt[r.work.MaxGap] = now
		s.addOnTime(r, 1-lateGap(s.gap(&speed, before, len(s.runs)+1), r.work.MaxGap))
	}
}

func (s *server) hazardOf(limit time.Duration) *hazard {
	h := s.hazards[limit]
	if h == nil {
		h = &hazard{}
		s.hazards[limit] = h
	}
	return h
}

func (s *server) addOnTime(r *run, probability float64) {
	kind := r.work.kind()
	p := s.onTime[kind]
	if p == nil {
		p = &onTimeStreams{survival: 1}
		s.onTime[kind] = p
	}
	p.expected += probability
	r.onTime, r.survivalBefore = probability, p.survival
}

func (s *server) removeOnTime(r *run) {
	kind := r.work.kind()
	p := s.onTime[kind]
	if p == nil {
		return
	}
	if s.streams[kind] == 0 {
		delete(s.onTime, kind)
		return
	}
	if r.survivalBefore > 0 {
		p.expected = max(0, p.expected-r.onTime*p.survival/r.survivalBefore)
	}
}
