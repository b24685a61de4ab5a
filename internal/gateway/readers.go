package gateway

import (
	"time"

	"basilrudder/internal/monotime"
)

// shouldRead reports whether this instance reads the store itself. Every call is paid
// for, and each change answers all watches, so in a large fleet only the first few in
// rank read. The others receive updates from them, which carry each change and confirm
// the version in force. An instance that receives no confirmation reads too, whatever its
// rank: the readers may have crashed, be disconnected or be refused by the store.
func (f *storeSync) shouldRead() bool {
	if f.lacksState() {
		return f.shouldReadFirst()
	}
	place, _ := f.rank()
	if place < storeReaders {
		return true
	}
	unconfirmed := monotime.Now().Sub(max(f.started, f.fleet.confirmedAt()))
	return unconfirmed > takeOverDelay(place)+f.takeOverJitter
}

// takeOverDelay returns how long the instance at a place in rank waits for a confirmation.
func takeOverDelay(place int) time.Duration {
	return takeOverAfter + min(time.Duration(place)*takeOverStep, maxTakeOverSteps)
}

// shouldReadFirst reports whether an instance without state reads the store instead of
// waiting for a peer. Of instances that start together, those read that have recorded few
// others with a lower place in rank.
func (f *storeSync) shouldReadFirst() bool {
	waited := monotime.Now().Sub(f.started)
	place, _ := f.rank()
	switch {
	case waited >= stateWait(place):
		return true
	case waited < hubDiscoveryWait, f.hasHub():
		return false
	default:
		return place < storeReaders || !f.hasPeer()
	}
}

// stateWait returns how long a process at a place in rank waits for a peer to send its
// state. A peer that reads thousands of servers has them after more than hubStateWait, so
// places beyond maxFirstReaders wait for longer.
func stateWait(place int) time.Duration {
	return hubStateWait + min(time.Duration(max(0, place-maxFirstReaders))*takeOverStep, maxTakeOverSteps)
}

// lacksState reports whether this instance lacks what it needs to serve any caller.
func (f *storeSync) lacksState() bool { return f.fleet.Table() == nil || f.fleet.serverCount() == 0 }
