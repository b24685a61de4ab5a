package placement

import (
	"fmt"
	"testing"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/pace"
)

// runStream records a stream of events on a server, each after a pause, and returns when
// it ended.
func runStream(b *Board, id RunID, server string, work Work, events int, pause time.Duration, now monotime.Instant) monotime.Instant {
	b.Begin(id, server, work, 0, now)
	now = now.Add(pause)
	b.OwnFirstEvent(id, now)
	b.Events(id, 1, now)
	for range events {
		now = now.Add(pause)
		b.Events(id, 1, now)
	}
	b.End(id, now)
	return now
}

// An instance starts with a prior of 5 ms for a step, and streams show steps of 30 ms.
// Predictions must follow the streams.
func TestObservedStreamsOverrideThePriorPace(t *testing.T) {
	b := NewBoard(pace.DefaultPrior, "here")
	candidates := engines(3)
	for _, c := range candidates {
		b.server(c)
	}
	now := start
	for n := range 30 {
		now = runStream(b, RunID{"me", n}, candidates[n%3].ID, shortPrompt("n"), 20, 2*30*time.Millisecond, now)
	}
	choice, _ := b.Choose(shortPrompt("next"), candidates, now)
	if choice.Gap < 50*time.Millisecond || choice.Gap > 200*time.Millisecond {
		t.Errorf("pauses of 60 ms are observed, %v is predicted", choice.Gap)
	}
	if got := b.Paces()[""]; got.Step < 25*time.Millisecond || got.Step > 35*time.Millisecond {
		t.Errorf("steps of 30 ms are observed, %v is learned", got.Step)
	}
}

// One of four engines becomes five times slower. The next streams must go elsewhere until
// its slowness has faded.
func TestASlowServerIsAvoidedAndTriedAgainLater(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := engines(4)
	now := start
	for n := range 60 {
		pause := 14 * time.Millisecond
		if n%4 == 2 {
			pause *= 5
		}
		runStream(b, RunID{"me", n}, candidates[n%4].ID, shortPrompt("n"), 40, pause, now)
		now = now.Add(100 * time.Millisecond)
	}
	now = now.Add(3 * time.Second)
	slow := b.server(candidates[2])
	if got := slow.slowness(now); got < 1.8 {
		t.Fatalf("classified as %.2f times slower", got)
	}
	for n := range 12 {
		if got := chooseAndBegin(t, b, 1000+n, shortPrompt(fmt.Sprint(n)), candidates, now); got.Server == slow.id {
			t.Errorf("request %d goes to the slow server: %+v", n, got)
		}
	}
	later := now.Add(4 * slownessFadeTime)
	if got := slow.slowness(later); got > 1.1 {
		t.Errorf("still classified as %.2f times slower", got)
	}
}

// All servers are equally fast, but each interval is off by half or twice, as when
// reading beside streams is reported late. None of them may count as slow.
func TestEquallyFastServersAreNotClassifiedAsSlow(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := engines(4)
	now := start
	for n := range 200 {
		pause := 14 * time.Millisecond * time.Duration(1+n%2*2) / 2
		runStream(b, RunID{"me", n}, candidates[(n/2)%4].ID, shortPrompt("n"), 40, pause, now)
		now = now.Add(100 * time.Millisecond)
	}
	for _, c := range candidates {
		if got := b.server(c).slowness(now); got < 0.8 || got > 1.3 {
			t.Errorf("%s is classified as %.2f times slower", c.ID, got)
		}
	}
}

// longAnswer is a prompt with a long answer that must be complete within 15 s.
func longAnswer(id string) Work {
	work := longPrompt("chain", id)
	work.Output = 900
	return work
}

// readLongPrompts has an engine read long prompts for four seconds, ends all their runs,
// and returns the time of the end.
func readLongPrompts(b *Board, server string, each time.Duration) monotime.Instant {
	now := start
	for n := range int(4 * time.Second / each) {
		id := RunID{"peer", n}
		b.Begin(id, server, longPrompt(fmt.Sprint("c", n), fmt.Sprint("x", n)), 21000, now)
		now = now.Add(each)
		b.FirstEvent(id, now)
		b.End(id, now)
	}
	return now
}

// One engine caches the start of a long prompt but has read other prompts nearly all the
// time. A stream of 900 tokens there would be cut off at its deadline; it must go to an
// engine on which it ends in time.
func TestALongStreamGoesWhereItEndsInTime(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := engines(2)
	b.server(candidates[0])
	now := readLongPrompts(b, "e0", 450*time.Millisecond)
	b.RecordCachedParts("e0", longAnswer("mine").Parts[:1], now)
	choice, _ := b.Choose(longAnswer("mine"), candidates, now)
	if choice.Server != "e1" || choice.End > 15*time.Second {
		t.Errorf("%+v", choice)
	}
}

// Streams on one of two engines have little time left. A long prompt beside them would
// have them cut off, so it must be read on the other engine, which runs as many streams.
func TestPromptsAreReadBesideStreamsThatHaveTime(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := engines(2)
	for n := range 20 {
		work := longAnswer(fmt.Sprint(n))
		work.Left = 8 * time.Second
		if n%2 == 1 {
			work.Left = time.Hour
		}
		id := RunID{"peer", n}
		b.Begin(id, candidates[n%2].ID, work, 0, start)
		b.FirstEvent(id, start)
	}
	choice, _ := b.Choose(longPrompt("other", "x"), candidates, start.Add(time.Second))
	if choice.Server != "e1" {
		t.Errorf("%+v", choice)
	}
}

// An engine has read a long prompt every half second. At this moment it reads none, but a
// stream of two seconds with short pauses would be interrupted by the next one and must
// go elsewhere.
func TestStreamsWithShortPausesAvoidEnginesThatReadLongPrompts(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := engines(2)
	now := start
	chooseAndBegin(t, b, 0, shortPrompt("first"), candidates, now) // its limit of pauses is in use
	b.End(RunID{"me", 0}, now)
	now = readLongPrompts(b, "e0", 500*time.Millisecond)
	choice, _ := b.Choose(shortPrompt("n"), candidates, now)
	if choice.Server != "e1" {
		t.Errorf("%+v", choice)
	}
}

// Streams on one engine have already paused too long and are late. The next long prompt
// harms none there, so it must go there instead of to an engine whose streams are on
// time.
func TestStreamsThatAreAlreadyLateAreNotProtected(t *testing.T) {
	b := NewBoard(testPace, "here")
	candidates := engines(2)
	for _, c := range candidates {
		b.server(c)
	}
	for n := range 16 {
		id := RunID{"peer", n}
		b.Begin(id, candidates[n%2].ID, shortPrompt(fmt.Sprint(n)), 0, start)
		b.FirstEvent(id, start)
	}
	b.Begin(RunID{"peer", 100}, "e0", longPrompt("c", "x"), 21000, start)
	b.FirstEvent(RunID{"peer", 100}, start.Add(500*time.Millisecond))
	b.End(RunID{"peer", 100}, start.Add(600*time.Millisecond))
	choice, _ := b.Choose(longPrompt("d", "y"), candidates, start.Add(time.Second))
	if choice.Server != "e0" {
		t.Errorf("%+v", choice)
	}
	for n := range 16 {
		b.End(RunID{"peer", n}, start.Add(2*time.Second))
	}
	if s := b.server(candidates[0]); len(s.onTime) != 0 {
		t.Errorf("ended streams still count: %+v", s.onTime)
	}
}

// Thirty long streams on the only engine need all the time that they have left. A further
// long prompt would have more of them cut off with each second of its reading, and must
// be refused with that reason. A short and more urgent request must be accepted whatever
// the less urgent streams lose, and the prompt too once there is time.
func TestRequestsThatCostOthersMoreThanTheirValueAreRefused(t *testing.T) {
	b := NewBoard(testPace, "here")
	one := engines(1)
	b.server(one[0])
	for n := range minSamplesToRefuse {
		pause := 2 * testPace.DecodeStep(1)
		runStream(b, RunID{"me", n}, "e0", shortPrompt("n"), 30, pause, start.Add(-time.Hour))
	}
	for n := range 30 {
		work := longAnswer(fmt.Sprint(n))
		work.Left = 12 * time.Second
		b.Begin(RunID{"peer", n}, "e0", work, 0, start)
		b.FirstEvent(RunID{"peer", n}, start)
	}
	prompt := longPrompt("other", "x")
	prompt.Prompt = 60000
	if choice, refusal := b.Choose(prompt, one, start); refusal != NotWorthwhile || choice.Value >= 0 {
		t.Errorf("%d %+v", refusal, choice)
	}
	if choice, refusal := b.Choose(shortPrompt("n"), one, start); refusal != Chosen {
		t.Errorf("a short prompt: %d %+v", refusal, choice)
	}
	for n := range 25 {
		b.End(RunID{"peer", n}, start)
	}
	if choice, refusal := b.Choose(prompt, one, start.Add(time.Second)); refusal != Chosen {
		t.Errorf("with time left: %d %+v", refusal, choice)
	}
}
