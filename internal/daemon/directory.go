package daemon

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/catalog"
	"basilrudder/internal/membership"
	"basilrudder/internal/node"
	"basilrudder/internal/reqid"
	"basilrudder/internal/schema/callerapi"
)

// answerDirectory names the instances that a customer should use, by
// rendezvous hashing, with a prefix for request ids bound to each.
func answerDirectory(cat *catalog.Catalog, view *membership.View, customer *catalog.Customer) callerapi.Directory {
	ttl := time.Duration(cat.Rules.DirectoryTTLS) * time.Second
	out := callerapi.Directory{TTLS: cat.Rules.DirectoryTTLS, Revision: int(cat.Revision)}
	if view == nil {
		return out
	}
	live := slices.Clone(view.Live)
	slices.SortFunc(live, func(a, b membership.Member) int {
		x, y := weight(customer, a), weight(customer, b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	for _, m := range live[:min(len(live), cat.Rules.DirectorySize)] {
		self := reqid.Incarnation{Instance: m.ID, Token: m.Incarnation}
		prefix, _ := self.Prefix(time.Now(), ttl+node.IDLifetime)
		out.Instances = append(out.Instances, callerapi.DirectoryInstance{
			ID: m.ID, Address: m.CallerAddress, DataCentre: m.DataCentre, IDPrefix: prefix,
		})
	}
	return out
}

func weight(customer *catalog.Customer, m membership.Member) uint64 {
	return xxhash.Sum64String(customer.Name + "\x00" + m.ID)
}
