package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/monotime"
)

// In a large fleet an instance uses each server less than once in ten seconds, so it rarely
// finds an idle connection and opens one for nearly every request. Choices among servers of
// about the same cost therefore return to the same ones. All instances must not return to
// the same servers: the order of preference is a hash of instance and server.

const (
	// connectCost is the cost of an engine to which the instance has no idle connection: that
	// of a probability of 2% to be late. With 0.005, 7 of 100 requests more open a
	// connection.
	connectCost = 0.02
	// fixedShare is the largest fixed cost of an engine as a share of the random jitter in
	// whose place it stands. With larger ones prompts leave engines that cache them: at 2.4
	// times the load of the scenario uneven-engines 0.60 of the queries are on time with
	// 0.3, 0.79 with 0.1. With 0.05 and less, instances choose the same engines again (0.72
	// and 0.56).
	fixedShare = 0.1
	// plainSpread is the largest fixed cost of a server that is no engine, and
	// plainConnectCost that of one without an idle connection: a fifth and a sixth of its
	// slots in use. With the costs of engines, the load of such servers would depend on the
	// hash and on the connections.
	plainSpread, plainConnectCost = loadCost / 5, loadCost / 6
	// preferredPlaces is the number of servers of a large pool, beginning at a hash of the
	// instance, that each of its choices considers besides those of the prompt.
	preferredPlaces = 8
)

// SetConnected sets the function that reports whether this instance has an idle connection
// to a server. It is called for each server of a choice while the Board is locked: it must
// not block or call the Board. A wrong answer costs at most a connection.
func (b *Board) SetConnected(connected func(server string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connected = connected
}

// PrefersOpenConnections reports whether the feature is in effect.
func (b *Board) PrefersOpenConnections(now monotime.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.prefersOpenConnections(now)
}

func (b *Board) prefersOpenConnections(now monotime.Instant) bool {
	return b.enabled(b.features.PreferOpenConnections, now)
}

// spread adds to the costs of one choice what keeps instances from choosing the same server:
// a random amount, or a fixed one in a large fleet that prefers open connections.
type spread struct {
	board *Board
	// jitter is the largest amount.
	jitter     float64
	preferOpen bool
	// cheapest has the lowest cost without regard to connections.
	cheapest     string
	cheapestCost float64
}

func (b *Board) newSpread(share float64, now monotime.Instant) spread {
	return spread{board: b, jitter: b.costJitter(share), preferOpen: b.prefersOpenConnections(now), cheapestCost: math.Inf(1)}
}

// addTo adds the amount to the cost of choosing s.
func (p *spread) addTo(choice *Choice, s *server) {
	if !p.preferOpen {
		choice.Cost += p.jitter * p.board.rand.Float64()
		return
	}
	fixed, connect := fixedShare*p.jitter, connectCost
	if s.memory == 0 {
		fixed, connect = plainSpread, plainConnectCost
	}
	choice.Cost += fixed * p.board.preferenceFor(s)
	if choice.Cost < p.cheapestCost {
		p.cheapest, p.cheapestCost = s.id, choice.Cost
	}
	choice.Connected = p.board.connected(s.id)
	if !choice.Connected {
		choice.Cost += connect
	}
}

// record notes in a choice which server it replaced because of its connection.
func (p *spread) record(choice *Choice) {
	if p.preferOpen && p.cheapest != choice.Server {
		choice.InsteadOf = p.cheapest
	}
}

// preferenceFor returns a number in [0, 1) fixed by instance and server, lower for preferred
// servers. For those of other data centres it is the square root of a uniform number, so
// that few of the lowest ones are theirs.
func (b *Board) preferenceFor(s *server) float64 {
	if s.preference == 0 {
		s.preference = max(math.SmallestNonzeroFloat64, instanceFraction(b.self, s.id))
	}
	if s.dataCentre != b.dataCentre {
		return math.Sqrt(s.preference)
	}
	return s.preference
}

// instanceFraction maps an instance and a server to [0, 1).
func instanceFraction(instance, server string) float64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(instance)
	_, _ = hash.WriteString("\x00")
	_, _ = hash.WriteString(server)
	const bits = 53
	return float64(hash.Sum64()>>(64-bits)) / (1 << bits)
}

// addPreferred adds to a shortlist of a large pool the servers that this instance prefers,
// nearly all of them from its own data centre. Its samples differ by request and would
// seldom contain a server to which it has a connection.
func (b *Board) addPreferred(list *shortlist, now monotime.Instant) {
	if !b.prefersOpenConnections(now) {
		return
	}
	servers := list.pool.byDataCentre[b.dataCentre]
	if len(servers) == 0 {
		servers = list.pool.all
	}
	list.addFrom(servers, xxhash.Sum64String(b.self), preferredPlaces)
}
