package placement

import (
	"math"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

// A stream on an engine that reads prompts all the time receives its tokens many times
// slower and is cut off at its deadline, with all its work wasted. The share of time that
// an engine spends reading is therefore weighed against the time that its streams have
// left.

const (
	// readWindow is the time constant of the averaged share of reading. A shorter one
	// follows single prompts, a longer one reacts late to a burst.
	readWindow = 2 * time.Second
	// maxReadShare bounds that share, as an engine always makes some steps. At 1 the
	// predicted time of a token would be infinite.
	maxReadShare = 0.95
	// endSpread is the uncertainty of the time to an end on a log scale: callers'
	// estimates of the output are right in the median and often off by half.
	endSpread = 0.4
	// minRemainingShare is the share of the expected output that is assumed to remain of
	// a stream that has exceeded its estimate. At 0 it would have no delay cost, and
	// prompts would be placed beside it freely.
	minRemainingShare = 0.2
	// delayCostMaxAge is how long the delay cost of an engine is reused. A longer one is
	// outdated, a shorter one sums over all runs of an engine at nearly every choice.
	delayCostMaxAge = 100 * time.Millisecond
	// minDuration keeps ratios of durations finite.
	minDuration = time.Millisecond
)

// recordRead adds the time that reading a prompt took.
func (s *server) recordRead(took time.Duration, now monotime.Instant) {
	s.recentReading = s.recentReading*decay(now.Sub(s.readAt), readWindow) + took.Seconds()
	s.readAt = now
}

// readShare returns the recent share of its time that an engine spent reading.
func (s *server) readShare(now monotime.Instant) float64 {
	return min(maxReadShare, s.recentReading*decay(now.Sub(s.readAt), readWindow)/readWindow.Seconds())
}

// meanReadShare returns the mean of readShare over engines; 0 for none.
func meanReadShare(of []availableServer, now monotime.Instant) float64 {
	sum, count := 0.0, 0
	for _, s := range of {
		if s.memory > 0 {
			sum += s.readShare(now)
			count++
		}
	}
	return sum / float64(max(1, count))
}

// tokenTime returns the expected time of a token. It assumes a share of reading halfway
// between the engine's own and the mean, since requests move towards engines that read
// less.
func (s *server) tokenTime(speed *pace.Pace, runs int, mean float64, now monotime.Instant) time.Duration {
	share := (s.readShare(now) + mean) / 2
	return time.Duration(float64(speed.DecodeStep(runs)) / (1 - share))
}

// lateEnd returns the probability that an end expected after a time misses the time left.
func lateEnd(expected, left time.Duration) float64 {
	return logistic(math.Log(float64(max(minDuration, expected))/float64(max(minDuration, left))) / endSpread)
}

// delayCost is what the requests on an engine lose with each second of delay, by
// priority.
type delayCost struct {
	// running is the cost of runs whose streams have begun, waiting of those whose
	// prompts are unread: only more urgent prompts delay the latter.
	running, waiting byPriority
}

// delayCostOf returns the delay cost of an engine, at most delayCostMaxAge old.
func (b *Board) delayCostOf(s *server, speed *pace.Pace, mean float64, now monotime.Instant) *delayCost {
	if s.delayCostAt != 0 && now.Sub(s.delayCostAt) < delayCostMaxAge {
		return &s.delayCost
	}
	token := s.tokenTime(speed, len(s.runs), mean, now)
	s.delayCost, s.delayCostAt = delayCost{}, now
	for _, r := range s.runs {
		if !r.reading() {
			s.delayCost.running[priorityIndex(r.work.Priority)] += r.delayCost(token, now)
		}
	}
	wait := time.Duration(0)
	for _, r := range s.queue.runs {
		if r.reading() {
			wait += r.readLeft
			s.delayCost.waiting[priorityIndex(r.work.Priority)] += r.waitingDelayCost(wait, token, b.goals[r.work.kind()], now)
		}
	}
	return &s.delayCost
}

// delayCost returns what a run loses with each second that it ends later.
func (r *run) delayCost(token time.Duration, now monotime.Instant) float64 {
	if r.deadline == 0 || r.work.Output == 0 {
		return 0
	}
	return r.work.weight() * lateEndRate(r.remainingTime(token, now), r.deadline.Sub(now))
}

// remainingTime returns how long a run is expected to generate from now on.
func (r *run) remainingTime(token time.Duration, now monotime.Instant) time.Duration {
	tokens := float64(r.work.Output)
	if r.first {
		generated := float64(now.Sub(r.firstAt)) / float64(max(token, 1))
		tokens = max(tokens-generated, minRemainingShare*tokens)
	}
	return time.Duration(tokens * float64(token))
}

// waitingDelayCost returns what a run loses with each second that its prompt is read
// later. wait is the time until it has been read.
func (r *run) waitingDelayCost(wait, token, goal time.Duration, now monotime.Instant) float64 {
	lost := lateLossShare * lateFirstRate(now.Sub(r.begun)+wait, goal)
	if r.deadline != 0 {
		end := wait + time.Duration(r.work.Output)*token
		lost = max(lost, lateEndRate(end, r.deadline.Sub(now)))
	}
	return r.work.weight() * lost
}

// lateEndIfBounded is lateEnd, and 0 where left is not positive, which means no bound.
func lateEndIfBounded(expected, left time.Duration) float64 {
	if left <= 0 {
		return 0
	}
	return lateEnd(expected, left)
}

// lateEndRate returns the derivative of lateEnd by expected, per second.
func lateEndRate(expected, left time.Duration) float64 {
	expected = max(minDuration, expected)
	late := lateEnd(expected, left)
	return late * (1 - late) / (endSpread * expected.Seconds())
}
