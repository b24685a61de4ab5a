package node

import (
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/schema/inventory"
)

// OwnedEngines returns the ids of the model engines in the groups that this node owns:
// those whose load and cache events it polls.
func (n *Node) OwnedEngines() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var ids []string
	cat := n.catalog.Load()
	for _, name := range n.ownedNames() {
		for _, server := range cat.Groups[name].Servers {
			if server.Spec.Kind != inventory.ServerKindModel {
				continue
			}
			for _, engine := range server.Engines {
				ids = append(ids, engine.ID)
			}
		}
	}
	return ids
}

// LoadReport passes a load report on to the owned group of the engine.
func (n *Node) LoadReport(now monotime.Instant, engineID string, report engineapi.LoadReport) {
	n.lockAndDetectPause(now)
	defer n.mu.Unlock()
	if g := n.ownedGroupOfEngine(engineID); g != nil {
		g.sched.LoadReport(now, engineID, report)
	}
}

// CacheEvents passes a page of cache events on to the owned group of the engine.
func (n *Node) CacheEvents(now monotime.Instant, engineID string, events engineapi.CacheEvents) {
	n.lockAndDetectPause(now)
	defer n.mu.Unlock()
	if g := n.ownedGroupOfEngine(engineID); g != nil {
		g.sched.CacheEvents(now, engineID, events)
	}
}

func (n *Node) ownedGroupOfEngine(engineID string) *ownedGroup {
	engine := n.catalog.Load().Engines[engineID]
	if engine == nil {
		return nil
	}
	return n.owned[engine.Server.Group.Name]
}
