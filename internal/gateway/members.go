package gateway

import (
	"basilrudder/internal/monotime"
	"basilrudder/internal/route"
	"basilrudder/internal/schema/wire"
)

func (p *peers) linked() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Linked()
}

// routeMembers returns this instance and those that can be reached.
func (p *peers) routeMembers() []route.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []route.Member
	for _, m := range p.node.Reachable() {
		out = append(out, route.Member{ID: m.ID, DataCentre: m.DataCentre})
	}
	return out
}

// rank returns this instance's rank among those that can be reached, in an order that all
// of them agree on, and how many they are.
func (p *peers) rank() (place, of int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Rank()
}

// hasHub reports whether this instance receives all updates over a hub.
func (p *peers) hasHub() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Primary() != ""
}

// hasPeer reports whether this instance has a link to any other.
func (p *peers) hasPeer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.node.Linked()) > 0
}

// memberCount returns the number of instances that can be reached or could be recently,
// including this one.
func (p *peers) memberCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.MemberCount()
}

// staying returns the other instances that can be reached and do not leave, in order of
// id.
func (p *peers) staying() []wire.RelayMember {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Staying()
}

// takingCallers returns those of staying that should get new callers.
func (p *peers) takingCallers() []wire.RelayMember {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.TakingCallers(monotime.Now())
}

// stays reports whether a process can be reached and does not leave.
func (p *peers) stays(id, incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Stays(id, incarnation)
}
