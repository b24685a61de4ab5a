package paths

import (
	"math/rand/v2"
	"sync"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// workingSet is the number of peers that are used at a time: enough to spread the
	// load, few enough that most attempts go to a peer that is known to help. The fewer
	// there are, the more connections try a further one.
	workingSet = 16
	// remotePenalty is added to the load of a peer in another data centre.
	remotePenalty = 0.05
)

// Peer is an instance that may open connections for this one.
type Peer struct {
	ID string
	// Capacity is its share of a processor, in thousandths of a core.
	Capacity int
	// Local is true in the data centre of this instance.
	Local bool
}

// Picker chooses peers for connections. It is safe for concurrent use.
type Picker struct {
	mu sync.Mutex
	// open is the number of connections open through each peer.
	open map[string]int
	// helpful holds the peers that opened the last connection they were asked for.
	helpful map[string]bool
	// avoided is until when a peer is not asked, for a service or, with an empty one, at
	// all.
	avoided map[avoidance]monotime.Instant
}

type avoidance struct{ peer, service string }

// NewPicker returns a Picker without any experience.
func NewPicker() *Picker {
	return &Picker{open: make(map[string]int), helpful: make(map[string]bool), avoided: make(map[avoidance]monotime.Instant)}
}

// Pick chooses one of the candidates for a connection to a service; false if all are
// excluded or avoided. Of two random ones it takes the one with less load.
func (p *Picker) Pick(candidates []Peer, service string, excluded map[string]bool, now monotime.Instant) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var helpful, others []Peer
	for _, c := range candidates {
		switch {
		case excluded[c.ID], now < p.avoided[avoidance{c.ID, ""}], now < p.avoided[avoidance{c.ID, service}]:
		case p.helpful[c.ID]:
			helpful = append(helpful, c)
		default:
			others = append(others, c)
		}
	}
	explore := rand.IntN(workingSet) >= len(helpful)
	if explore && len(others) > 0 {
		helpful = others
	}
	if len(helpful) == 0 {
		return Peer{}, false
	}
	a, b := helpful[rand.IntN(len(helpful))], helpful[rand.IntN(len(helpful))]
	if p.load(&b) < p.load(&a) {
		return b, true
	}
	return a, true
}

func (p *Picker) load(c *Peer) float64 {
	out := float64(p.open[c.ID]) / float64(max(1, c.Capacity))
	if !c.Local {
		out += remotePenalty
	}
	return out
}

// Opened records a connection that a peer opened.
func (p *Picker) Opened(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[peer]++
	p.helpful[peer] = true
}

// Closed records the end of such a connection.
func (p *Picker) Closed(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[peer]--
	if p.open[peer] <= 0 {
		delete(p.open, peer)
	}
}

// Avoid leaves a peer out until an instant: for one service, or at all if service is
// empty.
func (p *Picker) Avoid(peer, service string, until, now monotime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.helpful, peer)
	for key, end := range p.avoided {
		if now >= end {
			delete(p.avoided, key)
		}
	}
	p.avoided[avoidance{peer, service}] = until
}

// Open returns the number of connections open through peers.
func (p *Picker) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	for _, n := range p.open {
		sum += n
	}
	return sum
}

// How long a peer is avoided after each kind of failure.
const (
	AvoidBusy        = 300 * time.Millisecond
	AvoidCutOff      = time.Second
	AvoidUnreachable = 2 * time.Second
)
