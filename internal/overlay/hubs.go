package overlay

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minHubs is the number of hubs of a data centre: when one is lost, the instances
	// that subscribe to it have a link to another one already.
	minHubs = 2
	// capacityPerSubscriber is the processor share in thousandths of a core that a hub
	// needs for each subscriber. Small machines have slow links too: with 600 requests
	// a second in the fleet a subscriber is told 80 KB a second, and fourteen of them
	// filled a link of 10 Mbit/s, so that news came four seconds late.
	capacityPerSubscriber = 50
	// defaultCapacity stands for that of an instance which does not tell it.
	defaultCapacity = 1000
)

// chooseHubs returns those that are chooseHubs among the instances given: of each data centre the
// strongest few which together are strong enough for the others.
func chooseHubs(members []*member) map[*member]bool {
	out := make(map[*member]bool)
	byDataCentre := make(map[string][]*member)
	for _, m := range members {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	for _, list := range byDataCentre {
		slices.SortFunc(list, func(a, b *member) int {
			return cmp.Or(cmp.Compare(b.capacity(), a.capacity()), compareHash(a.hash, b.hash, a.ID, b.ID))
		})
		served := 0
		for n, m := range list {
			if n >= minHubs && served >= len(list) {
				break
			}
			out[m] = true
			served += 1 + m.capacity()/capacityPerSubscriber
		}
	}
	return out
}

func (m *member) capacity() int { return cmp.Or(m.Capacity, defaultCapacity) }

// compareHash orders by hash, and by id where hashes are the same.
func compareHash(a, b uint64, idA, idB string) int {
	return cmp.Or(cmp.Compare(a, b), cmp.Compare(idA, idB))
}

// hubScore is how much an instance prefers a hub to others, least first: weighted
// rendezvous hashing, so that the instances of a data centre spread over its hubs by
// their capacity, and few of them change when one is lost.
func hubScore(id string, hub *member) float64 {
	u := (float64(hash(id+"\x00"+hub.ID)>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / float64(hub.capacity())
}
