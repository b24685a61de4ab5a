package placement

import (
	"time"

	"basilrudder/internal/monotime"
)

// Features are the parts of placement that can be switched off. They take effect in a
// large fleet only: in a small one every instance meets each server often enough to learn
// by itself.
type Features struct {
	// LargeFleet is the number of instances, this one included, from which on a fleet is
	// large; 0 for never.
	LargeFleet int
	// SharedServerPaces: instances exchange samples of the pace of each server.
	SharedServerPaces bool
	// CalibratedPauses: the probability of late pauses is learned from ended streams.
	CalibratedPauses bool
	// SplitEngines: streams with short pauses and long prompts use different engines where
	// possible.
	SplitEngines bool
	// PreferOpenConnections: among servers of about the same cost, those with an idle
	// connection are preferred.
	PreferOpenConnections bool
}

// largeFleetHold is how long a fleet counts as large after it last was. A restart of all
// instances or a lost link must not switch features off and on.
const largeFleetHold = time.Minute

// SetFeatures sets the features in use. It is called before the first request.
func (b *Board) SetFeatures(features Features) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.features = features
}

// SetFleetSize sets the number of instances, this one included.
func (b *Board) SetFleetSize(instances int, now monotime.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.features.LargeFleet > 0 && instances >= b.features.LargeFleet {
		b.largeUntil = now.Add(largeFleetHold)
	}
}

// enabled reports whether a feature that is switched on is in effect.
func (b *Board) enabled(feature bool, now monotime.Instant) bool {
	return feature && b.features.LargeFleet > 0 && now < b.largeUntil
}
