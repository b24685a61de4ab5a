package placement

import (
	"math"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

// Reading a long prompt makes the other streams of the engine pause. A stream that once
// paused for longer than its caller allows is late, whatever follows. An engine that
// reads long prompts now and then is therefore unsuitable for streams with short pauses,
// even at a moment when it reads none.

const (
	// gapSpread is the relative uncertainty of a predicted pause, and minGapSpread its
	// minimum. Smaller ones count a pause predicted just within its limit as certainly on
	// time.
	gapSpread    = 0.08
	minGapSpread = 3 * time.Millisecond
	// PauseMargin is what the network between the server and the caller may add to a pause.
	// Without it, pauses near the limit are late at the caller.
	PauseMargin = 12 * time.Millisecond
	// hazardWindow is the time constant of the averaged rate of too long pauses. A
	// shorter one forgets long prompts that come now and then, a longer one keeps streams
	// off engines that no longer read any.
	hazardWindow = 3 * time.Second
	// gapLimitMaxAge is how long a limit of pauses is tracked after its last use. Without
	// that bound every limit ever used would cost time with each prompt.
	gapLimitMaxAge = time.Minute
)

// hazard is the decaying rate of pauses on an engine that are longer than a limit.
type hazard struct {
	weighted float64
	at       monotime.Instant
}

func (h *hazard) add(p float64, now monotime.Instant) {
	*h = hazard{weighted: h.weighted*decay(now.Sub(h.at), hazardWindow) + p, at: now}
}

// perSecond returns the rate of such pauses; h may be nil.
func (h *hazard) perSecond(now monotime.Instant) float64 {
	if h == nil {
		return 0
	}
	return h.weighted * decay(now.Sub(h.at), hazardWindow) / hazardWindow.Seconds()
}

func decay(passed, window time.Duration) float64 {
	return math.Exp(-passed.Seconds() / window.Seconds())
}

// onTimeStreams counts the streams of a kind on an engine that have probably not paused
// too long yet.
type onTimeStreams struct {
	expected float64
	// survival is the share of a stream that was on time at the start of this record
	// which still is.
	survival float64
}

// backlog is the total of the prompts that an engine has yet to read.
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

// gap returns the longest predicted pause between events of streams on an engine: an
// event takes as many steps as it holds tokens, each of which may read a chunk.
func (s *server) gap(speed *pace.Pace, l backlog, runs int) time.Duration {
	steps := max(1, s.eventTokens)
	read := min(l.unread, steps*pace.Chunk)
	return time.Duration(steps)*speed.DecodeStep(runs) + speed.Read(read, l.longest)
}

// lateGap returns the probability that a predicted pause exceeds its limit.
func lateGap(gap, limit time.Duration) float64 {
	spread := max(minGapSpread, time.Duration(gapSpread*float64(gap)))
	return logistic(float64(gap+PauseMargin-limit) / float64(spread))
}

// pauseProbability returns the probability that a stream placed on s pauses too long
// during its life, because of the present backlog or of prompts to come.
//
// Long prompts go where they make the fewest streams late. An engine without streams that
// they would make late attracts them at least at the mean rate, and one with such streams
// is protected. Streams with short pauses thereby share engines as soon as long prompts
// arrive, and spread out when none do.
func (s *server) pauseProbability(l *latePauses, speed *pace.Pace, work *Work, ahead backlog, life time.Duration, mean float64, now monotime.Instant) float64 {
	if work.MaxGap == 0 {
		return 0
	}
	onTime := 1 - l.probability(s.gap(speed, ahead, len(s.runs)+1), work.MaxGap)
	rate := s.hazards[work.MaxGap].perSecond(now) + mean*math.Exp(-s.exposedStreams())
	return 1 - onTime*math.Exp(-rate*life.Seconds())
}

// exposedStreams returns the expected number of streams on s that a long pause would make
// late.
func (s *server) exposedStreams() float64 {
	sum := 0.0
	for _, p := range s.onTime {
		sum += p.expected
	}
	return sum
}

// pauseHarm returns what the streams on s lose by the pauses that a new prompt adds, by
// priority.
func (s *server) pauseHarm(l *latePauses, speed *pace.Pace, before, after backlog) byPriority {
	var out byPriority
	for kind, p := range s.onTime {
		out[priorityIndex(kind.priority)] += p.expected * weightOf(kind.priority) * s.addedLateGap(l, speed, before, after, kind.maxGap)
	}
	return out
}

// addedLateGap returns by how much a new prompt raises the probability of a pause above
// limit.
func (s *server) addedLateGap(l *latePauses, speed *pace.Pace, before, after backlog, limit time.Duration) float64 {
	runs := len(s.runs)
	return max(0, l.probability(s.gap(speed, after, runs+1), limit)-l.probability(s.gap(speed, before, runs), limit))
}

// recordPauses applies the effect of a run that begins on s to the pauses there, for all
// tracked limits of pauses. It is called before the run is added to s.
func (b *Board) recordPauses(s *server, r *run, now monotime.Instant) {
	speed, late := s.pace(now), b.latePauses(s, now)
	before := s.unreadBacklog(now)
	if r.unread > 0 {
		after := before.with(r.unread, r.work.Prompt)
		for limit := range b.gapLimitUsedAt {
			s.hazardOf(limit).add(s.addedLateGap(&late, &speed, before, after, limit), now)
		}
		for kind, p := range s.onTime {
			still := 1 - s.addedLateGap(&late, &speed, before, after, kind.maxGap)
			p.expected *= still
			p.survival *= still
		}
		s.recordPredictedPause(r, s.gap(&speed, after, len(s.runs)+1))
	}
	if r.work.MaxGap > 0 {
		b.gapLimitUsedAt[r.work.MaxGap] = now
		s.addOnTime(r, 1-late.probability(s.gap(&speed, before, len(s.runs)+1), r.work.MaxGap))
	}
}

func (s *server) hazardOf(limit time.Duration) *hazard {
	h := s.hazards[limit]
	if h == nil {
		h = &hazard{}
		put(&s.hazards, limit, h)
	}
	return h
}

func (s *server) addOnTime(r *run, probability float64) {
	kind := r.work.kind()
	p := s.onTime[kind]
	if p == nil {
		p = &onTimeStreams{survival: 1}
		put(&s.onTime, kind, p)
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
		drop(&s.onTime, kind)
		return
	}
	if r.survivalBefore > 0 {
		p.expected = max(0, p.expected-r.onTime*p.survival/r.survivalBefore)
	}
}
