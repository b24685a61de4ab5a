package gateway

import (
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/placement"
	"basilrudder/internal/relay"
	"basilrudder/internal/schema/wire"
)

// Begin implements relay.Fleet. It checks the limiter again: between the choice of a
// server and the connection to it, other requests may have used up its capacity, or the
// connection may show that a lost server has recovered.
func (f *fleet) Begin(target relay.Target, work placement.Work, now monotime.Instant) (run int, ok bool) {
	request := f.limiterRequest(target.Service, &work, now)
	f.throttle.MarkReachable(target.ID, request.ColdLimit, now)
	if !f.throttle.TryAcquire(target.ID, request, now) {
		return 0, false
	}
	f.outages.recordReached(target.Service)
	number := int(f.lastRun.Add(1))
	id := placement.RunID{Instance: f.self, Number: number}
	if target.Choice.Brittle {
		if !f.board.BeginOnBrittle(id, target.ID, work, target.Choice.Unread, now) {
			return 0, false
		}
	} else {
		f.board.Begin(id, target.ID, work, target.Choice.Unread, now)
	}
	f.board.Watch(id, &target.Choice, now)
	f.updates.addBegin(encodeRun(number, target.ID, target.Choice.Unread, work))
	return number, true
}

// FirstEvent implements relay.Fleet.
func (f *fleet) FirstEvent(run int, now monotime.Instant) {
	f.board.OwnFirstEvent(placement.RunID{Instance: f.self, Number: run}, now)
	f.updates.addFirst(run)
}

// Events implements relay.Fleet.
func (f *fleet) Events(run, count int, now monotime.Instant) {
	sample, due := f.board.Events(placement.RunID{Instance: f.self, Number: run}, count, now)
	if due {
		f.updates.addPace(encodePace(run, sample))
	}
}

// Completed implements relay.Fleet.
func (f *fleet) Completed(run int, now monotime.Instant) {
	f.board.Completed(placement.RunID{Instance: f.self, Number: run}, now)
}

// End implements relay.Fleet.
func (f *fleet) End(run int, now monotime.Instant) {
	sample, due := f.board.End(placement.RunID{Instance: f.self, Number: run}, now)
	if due {
		f.updates.addPace(encodePace(run, sample))
	}
	f.updates.addEnd(run)
}

// QueueStatus implements relay.Fleet.
func (f *fleet) QueueStatus(run int, now monotime.Instant) placement.QueueStatus {
	return f.board.QueueStatus(placement.RunID{Instance: f.self, Number: run}, now)
}

func encodeRun(number int, server string, unread int, work placement.Work) wire.RelayRun {
	return wire.RelayRun{
		Number: number, Server: server, Unread: unread, Prompt: work.Prompt,
		Output: work.Output, GapMS: int(work.MaxGap / time.Millisecond), Priority: work.Priority, Rank: work.Rank,
		LeftMS: int(work.Left / time.Millisecond), Parts: encodeParts(work.Parts),
	}
}

// encodeRunState is encodeRun for a run that began a while ago.
func encodeRunState(r placement.RunState) wire.RelayRun {
	return encodeRun(r.Number, r.Server, r.Unread, r.Work)
}

func decodeRun(r wire.RelayRun) placement.Work {
	return placement.Work{
		Parts: decodeParts(r.Parts), Prompt: r.Prompt, Output: r.Output,
		MaxGap: time.Duration(r.GapMS) * time.Millisecond, Priority: r.Priority, Rank: r.Rank,
		Left: time.Duration(r.LeftMS) * time.Millisecond,
	}
}
