package crashes

import (
	"time"

	"basilrudder/internal/monotime"
)

// trialWindow is how long an instance that has sent a culprit on for trial sends no
// other.
const trialWindow = 5 * time.Second

// trialDelays are after how long without an end a culprit is sent on once, to find out
// whether it still crashes servers: after the last end before it was refused, after the
// first trial, and after all later ones.
var trialDelays = [...]time.Duration{time.Minute, Retention, 6 * Retention}

// suspectTrialDelays are the same for content that is postponed, after the last end before
// that and after each trial. Most such content is harmless, and a trial clears it.
var suspectTrialDelays = [...]time.Duration{time.Second, 5 * time.Second, time.Minute, Retention}

const (
	// trialStep and suspectTrialStep are after how long twice as many instances may send
	// rejected and postponed content on for trial: those before them may get no such request.
	trialStep, suspectTrialStep = 5 * time.Second, time.Second
)

// Trial is a request that may be sent on although it is to be refused, if a trial is due.
type Trial struct {
	// ID of the request.
	ID string
	// May reports whether this instance may send a culprit on for trial, so many steps after
	// the trial became due.
	May func(content Fingerprint, steps int) bool
}

// tryNow reports whether a request with a culprit is sent on for trial now. Each request is
// asked about more than once, so the one that was let through passes again.
func (t *Tracker) tryNow(c *Culprit, now monotime.Instant, trial *Trial) bool {
	s := t.suspects[c.Contents[0]]
	overdue := now.Sub(c.LastEnd) - c.trialDelay()
	switch {
	case overdue < 0:
		return false
	case s.triedAt != 0 && now.Sub(s.triedAt) < trialWindow:
		return s.triedBy == trial.ID
	case !trial.May(c.Contents[0], int(overdue/c.trialStep())):
		return false
	}
	s.triedAt, s.triedBy = now, trial.ID
	return true
}

// trialDelay returns how long after the last end a request is sent on for trial.
func (c *Culprit) trialDelay() time.Duration {
	if c.Decision == Postpone {
		return suspectTrialDelays[min(c.extraEnds, len(suspectTrialDelays)-1)]
	}
	return trialDelays[min(c.trials, len(trialDelays)-1)]
}

func (c *Culprit) trialStep() time.Duration {
	if c.Decision == Postpone {
		return suspectTrialStep
	}
	return trialStep
}
