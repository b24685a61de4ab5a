package daemon

import (
	"math"
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/directory"
	"basilrudder/internal/membership"
	"basilrudder/internal/node"
	"basilrudder/internal/reqid"
	"basilrudder/internal/schema/callerapi"
)

const (
	// loadSteps coarsens this instance's load, so that answers stay the same
	// while it varies a little.
	loadSteps = 4
	// fullLoad is the load of an instance that holds all the requests it may.
	fullLoad = 4
)

// Directory implements callers.Backend. An instance knows its own load only;
// since callers mostly ask one of the instances they use, that is the load that
// matters: one that is full sends its own callers elsewhere.
func (b *backend) Directory(customer *catalog.Customer) callerapi.Directory {
	cat, view := b.node.Catalog(), b.node.View()
	if view == nil {
		return callerapi.Directory{Revision: int(cat.Revision), TTLS: 1}
	}
	ownLoad := 1 + (fullLoad-1)*math.Floor(b.node.Occupancy()*loadSteps)/loadSteps
	return directory.Answer(directory.Query{
		Catalog:    cat,
		View:       view,
		Customer:   customer,
		DataCentre: b.dataCentre,
		Load: func(id string) float64 {
			if id == b.self.Instance {
				return ownLoad
			}
			return 1
		},
		Prefix: idPrefix,
	})
}

// idPrefix binds request ids to a member for as long as the answer lives and
// the request may be repeated after.
func idPrefix(m membership.Member, ttl time.Duration) string {
	incarnation := reqid.Incarnation{Instance: m.ID, Token: m.Incarnation}
	prefix, _ := incarnation.Prefix(time.Now(), ttl+node.IDLifetime)
	return prefix
}
