package overlay

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minHubs is the minimum number of hubs of a data centre. When one of two is lost,
	// its subscribers already have a link to the other; with one they would have none.
	minHubs = 2
	// capacityPerSubscriber is the processor share, in thousandths of a core, that a hub
	// needs for each subscriber. Small machines have slow links too: at 600 requests per
	// second in the fleet a subscriber receives 80 kB per second, and fourteen
	// subscribers filled a 10 Mbit/s link, which delayed updates by four seconds. A
	// smaller value assigns too many subscribers to a weak hub, a larger one makes more
	// hubs than needed.
	capacityPerSubscriber = 50
	// defaultCapacity is assumed for an instance that does not report its capacity. Too
	// high a value overloads a weak hub, too low a value makes more hubs than needed.
	defaultCapacity = 1000
)

// chooseHubs returns the hubs among the given instances: in each data centre the
// strongest few whose joint capacity suffices for the others.
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

// compareHash orders by hash, and by id where hashes are equal.
func compareHash(a, b uint64, idA, idB string) int {
	return cmp.Or(cmp.Compare(a, b), cmp.Compare(idA, idB))
}

// hubScore ranks a hub for an instance; the lowest score is preferred. It is weighted
// rendezvous hashing: the instances of a data centre spread over its hubs by their
// capacity, and few of them move when a hub is lost.
func hubScore(id string, hub *member) float64 {
	u := (float64(hash(id+"\x00"+hub.ID)>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / float64(hub.capacity())
}
