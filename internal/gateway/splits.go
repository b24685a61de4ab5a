package gateway

import (
	"go.uber.org/zap"

	"basilrudder/internal/placement"
)

// minSplitChange is the change in the number of engines for short pauses beyond which a
// split is logged again.
const minSplitChange = 2

// logSplits logs the split whose size changed most since it was last logged, if that is
// more than minSplitChange engines. It is called once a second, which bounds the lines.
func (g *Gateway) logSplits() {
	current := g.fleet.board.EngineSplits()
	service, changed := mostChangedSplit(g.loggedSplits, current)
	if !changed {
		return
	}
	split := current[service]
	g.loggedSplits[service] = split.Short
	g.cfg.Log.Info("engine_split", zap.String("service", service),
		zap.Int("engines", split.Engines), zap.Int("short", split.Short),
		zap.Float64("short_slots", split.ShortSlots), zap.Float64("short_reading", split.ShortReading),
		zap.Float64("long_reading", split.LongReading))
}

// mostChangedSplit returns the service with the largest change that is to be logged.
func mostChangedSplit(logged map[string]int, current map[string]placement.EngineSplit) (service string, changed bool) {
	most := minSplitChange
	for name, split := range current {
		if change := max(split.Short-logged[name], logged[name]-split.Short); change > most {
			service, changed, most = name, true, change
		}
	}
	return service, changed
}
