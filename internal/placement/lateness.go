package placement

import (
	"math"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

// A stream whose engine reads prompts all the time gets its tokens many times
// slower, and ends at its deadline with nothing to show for what it cost. How much
// an engine reads is therefore weighed against the time that its streams have left.

const (
	// readWindow is the time over which the share of reading is averaged.
	readWindow = 2 * time.Second
	// maxReadShare bounds that share: an engine always makes some steps.
	maxReadShare = 0.95
	// endSpread is how uncertain the time to an end is, on a log scale: callers'
	// estimates of the output are right in the median and often off by half.
	endSpread = 0.4
	// minRemainingShare is the share of the expected output that is taken to be left of a
	// stream that has exceeded its estimate.
	minRemainingShare = 0.2
	// delayCostMaxAge is how long the sum over an engine's streams is used again.
	delayCostMaxAge = 100 * time.Millisecond
	// minDuration keeps ratios of times finite.
	minDuration = time.Millisecond
)

// recordRead takes the reading of a prompt into account that has been done.
func (s *server) recordRead(took time.Duration, now monotime.Instant) {
	s.recentReading = s.recentReading*decay(now.Sub(s.readAt), readWindow) + took.Seconds()
	s.readAt = now
}

// readShare is the share of its time that an engine spent on reading lately.
func (s *server) readShare(now monotime.Instant) float64 {
	return min(maxReadShare, s.recentReading*decay(now.Sub(s.readAt), readWindow)/readWindow.Seconds())
}

// meanReadShare is that of all engines together.
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

// tokenTime is how long a token takes on an engine that goes on reading as it did,
// or as all do: requests move towards engines that read less.
func (s *server) tokenTime(speed *pace.Pace, runs int, mean float64, now monotime.Instant) time.Duration {
	share := (s.readShare(now) + mean) / 2
	return time.Duration(float64(speed.DecodeStep(runs)) / (1 - share))
}

// lateEnd is the probability that what is expected to take so long ends too late.
func lateEnd(expected, left time.Duration) float64 {
	return logistic(math.Log(float64(max(minDuration, expected))/float64(max(minDuration, left))) / endSpread)
}

// delayCost is what the requests on an engine lose by each second for which they are
// delayed, by priority.
type delayCost struct {
	// running are those whose streams have begun, waiting those whose prompt is not
	// read: only more urgent prompts delay them.
	running, waiting byPriority
}

// delayCostOf returns the urgency of an engine.
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

// delayCost is what a run loses by each second that it ends later.
func (r *run) delayCost(token time.Duration, now monotime.Instant) float64 {
	if r.deadline == 0 || r.work.Output == 0 {
		return 0
	}
	return r.work.weight() * lateEndRate(r.remainingTime(token, now), r.deadline.Sub(now))
}

// remainingTime is how long a run is expected to generate from now on.
func (r *run) remainingTime(token time.Duration, now monotime.Instant) time.Duration {
	tokens := float64(r.work.Output)
	if r.first {
		generated := float64(now.Sub(r.firstAt)) / float64(max(token, 1))
		tokens = max(tokens-generated, minRemainingShare*tokens)
	}
	return time.Duration(tokens * float64(token))
}

// waitingDelayCost is what a run loses by each second that its prompt, of which the last
// is read after a wait, is read later.
func (r *run) waitingDelayCost(wait, token, goal time.Duration, now monotime.Instant) float64 {
	lost := lateLossShare * lateFirstRate(now.Sub(r.begun)+wait, goal)
	if r.deadline != 0 {
		end := wait + time.Duration(r.work.Output)*token
		lost = max(lost, lateEndRate(end, r.deadline.Sub(now)))
	}
	return r.work.weight() * lost
}

// lateEndIfBounded is lateEnd where there may be no bound.
func lateEndIfBounded(expected, left time.Duration) float64 {
	if left <= 0 {
		return 0
	}
	return lateEnd(expected, left)
}

// lateEndRate is how much lateEnd grows with each second of expected.
func lateEndRate(expected, left time.Duration) float64 {
	expected = max(minDuration, expected)
	late := lateEnd(expected, left)
	return late * (1 - late) / (endSpread * expected.Seconds())
}
