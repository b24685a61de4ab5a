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
	// loadSteps is the number of steps to which this instance's load is rounded down. With
	// more steps, directory answers change with small variations of the load; with fewer,
	// callers are directed elsewhere only when the instance is nearly full.
	loadSteps = 4
	// fullLoad is the load of an instance that holds as many requests as its settings
	// allow, relative to 1 for an idle one. The larger it is, the fewer callers are
	// directed to a full instance.
	fullLoad = 4
)

// Directory implements callers.Backend. Only the instance's own load is available; the
// others count as idle. That is sufficient because callers mostly ask one of the instances
// that they use: a full instance directs its own callers to others.
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

// idPrefix returns a prefix that binds request ids to a member. It is valid while the
// directory answer is, and for as long afterwards as a request may be repeated.
func idPrefix(m membership.Member, ttl time.Duration) string {
	incarnation := reqid.Incarnation{Instance: m.ID, Token: m.Incarnation}
	prefix, _ := incarnation.Prefix(time.Now(), ttl+node.IDLifetime)
	return prefix
}
