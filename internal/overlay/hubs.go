package overlay

import (
	"cmp"
	"math"
	"slices"
)

// hubsLeast is the number of hubs of a data centre: when one is lost, the instances
// that subscribe to it have a link to another one already.
const hubsLeast = 2

// hubs returns those that are hubs among the instances given: of each data centre the
// strongest few. With about as many hubs as each has subscribers, the messages that a
// hub handles grow with the root of the size of the fleet.
func hubs(members []*member) map[*member]bool {
	out := make(map[*member]bool)
	byDataCentre := make(map[string][]*member)
	for _, m := range members {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	if len(members) == 0 {
		return out
	}
	root := math.Sqrt(float64(len(members)))
	each := max(hubsLeast, int(math.Ceil(root/float64(len(byDataCentre)))))
	for _, list := range byDataCentre {
		slices.SortFunc(list, func(a, b *member) int {
			return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), compareHash(a.hash, b.hash, a.ID, b.ID))
		})
		for _, m := range list[:min(each, len(list))] {
			out[m] = true
		}
	}
	return out
}

// compareHash orders by hash, and by id where hashes are the same.
func compareHash(a, b uint64, idA, idB string) int {
	return cmp.Or(cmp.Compare(a, b), cmp.Compare(idA, idB))
}

// affinity is how much an instance prefers a hub to others: hashes of pairs, so that
// the instances of a data centre spread over its hubs, and few of them change when one
// is lost.
func affinity(id, hub string) uint64 { return hash(id + "\x00" + hub) }
