package gateway

import (
	"context"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/timer"
)

// readReason is why an instance reads the store itself, for the log; empty if it does not.
type readReason string

const (
	// readFirst is that of the first instances in rank.
	readFirst readReason = "first_in_rank"
	// readAlone and readWithoutState are those of instances without state: one that has no
	// peer, and one that received none from its peers in time.
	readAlone        readReason = "no_peer"
	readWithoutState readReason = "no_state_received"
	// readUnconfirmed is that of an instance that received no confirmation in time.
	readUnconfirmed readReason = "unconfirmed"
)

// shouldRead reports whether this instance reads the store itself.
func (f *storeSync) shouldRead() bool { return f.readReason() != "" }

// readReason returns why this instance reads the store itself. Every call is paid
// for, and each change answers all watches, so in a large fleet only the first few in
// rank read. The others receive updates from them, which carry each change and confirm
// the version in force. An instance that receives no confirmation reads too, whatever its
// rank: the readers may have crashed, be disconnected or be refused by the store.
func (f *storeSync) readReason() readReason {
	if f.lacksState() {
		return f.firstReadReason()
	}
	place, _ := f.rank()
	unconfirmed := monotime.Now().Sub(max(f.started, f.fleet.confirmedAt()))
	switch {
	case place < storeReaders:
		return readFirst
	case unconfirmed > takeOverDelay(place)+f.takeOverJitter:
		return readUnconfirmed
	default:
		return ""
	}
}

// takeOverDelay returns how long the instance at a place in rank waits for a confirmation.
func takeOverDelay(place int) time.Duration {
	return takeOverAfter + min(time.Duration(place)*takeOverStep, maxTakeOverSteps)
}

// firstReadReason returns why an instance without state reads the store instead of waiting
// for a peer. Of instances that start together, those read that have recorded few others
// with a lower place in rank.
func (f *storeSync) firstReadReason() readReason {
	waited := monotime.Now().Sub(f.started)
	place, _ := f.rank()
	switch {
	case waited >= stateWait(place):
		return readWithoutState
	case waited < hubDiscoveryWait, f.hasHub():
		return ""
	case !f.hasPeer():
		return readAlone
	case place < storeReaders:
		return readFirst
	default:
		return ""
	}
}

// stateWait returns how long a process at a place in rank waits for a peer to send its
// state. A peer that reads thousands of servers has them after more than hubStateWait, so
// places beyond maxFirstReaders wait for longer.
func stateWait(place int) time.Duration {
	return hubStateWait + min(time.Duration(max(0, place-maxFirstReaders))*takeOverStep, maxTakeOverSteps)
}

// pauseBetweenPages waits before the next page of a listing. The pause shortens while it
// lasts.
func (f *storeSync) pauseBetweenPages(ctx context.Context, took time.Duration) {
	begun := monotime.Now()
	for ctx.Err() == nil {
		left := f.pagePause(took) - monotime.Now().Sub(begun)
		if left <= 0 {
			return
		}
		timer.Sleep(min(readCheckInterval, left), ctx.Done())
	}
}

// pagePause returns how long an instance waits before the next page of a listing, when the
// last one took a given time. Of a fleet that lacks its state, the first in rank list the
// store without a pause. The others would slow them down, so they begin slowly and double
// their pace each second: the first ones may not reach the store.
func (f *storeSync) pagePause(took time.Duration) time.Duration {
	place, _ := f.rank()
	if place < storeReaders || !f.lacksState() {
		return 0
	}
	doubled := (monotime.Now().Sub(f.started) - stateWait(place)) / pacingInterval
	return time.Duration(place) * took >> min(max(0, doubled), maxDoublings)
}

const (
	// pacingInterval is the time after which an instance that lists the store out of turn
	// doubles its pace, maxDoublings times at most.
	pacingInterval = time.Second
	maxDoublings   = 16
)

// lacksState reports whether this instance lacks what it needs to serve any caller.
func (f *storeSync) lacksState() bool { return f.fleet.Table() == nil || f.fleet.serverCount() == 0 }
