package replay

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/node"
	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/trace"
	"basilrudder/internal/verdict"
)

// call is one request of the trace, as its caller sees it.
type call struct {
	sim     *sim
	request *trace.Request
	number  int

	class    *catalog.Class
	customer *catalog.Customer
	tier     int
	id       string
	process  *process
	stream   *stream
	arrived  monotime.Instant

	tokens  int
	first   monotime.Instant
	last    monotime.Instant
	gaps    []float32
	foreign bool

	// waits are the groups that it asked for a slot.
	waits   []wait
	ended   bool
	lost    bool
	endedAt monotime.Instant
	err     *verdict.Error
	left    bool
}

// arrive sends the request to an instance of the customer's directory answer.
func (c *call) arrive() {
	s := c.sim
	c.class = s.cat.Classes[c.request.Class]
	c.customer = s.cat.Customers[c.request.Customer]
	c.tier = c.class.TierFor(c.customer)
	c.arrived = s.loop.Now()
	s.watch.minute(s, c).asked++
	c.try(s.directory(c.customer))
}

// try sends the request to the first address that answers. A connection that
// is refused and a leaving instance send the caller to the next one.
func (c *call) try(addresses []*instance) {
	if len(addresses) == 0 {
		c.finish(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "no instance answers"))
		return
	}
	p := addresses[0].process
	if !p.alive {
		c.try(addresses[1:])
		return
	}
	c.process = p
	c.id = p.newID()
	c.sim.callByID[c.id] = c
	p.deliver(0, func(now monotime.Instant) { c.submit(now, addresses[1:]) })
	if c.request.CancelAfter > 0 {
		c.sim.loop.After(c.request.CancelAfter, c.leave)
	}
}

func (c *call) submit(now monotime.Instant, others []*instance) {
	if c.ended {
		return
	}
	_, err := c.process.node.Submit(now, node.Request{
		ID:           c.id,
		Customer:     c.customer,
		Class:        c.class,
		PromptTokens: c.request.PromptTokens,
		Prefix:       c.request.Prefix >> 1,
	})
	if err == nil || c.ended {
		return
	}
	if err.Reason == verdict.ReasonDraining {
		c.try(others)
		return
	}
	c.finish(err)
}

// leave is the caller giving up.
func (c *call) leave() {
	if c.ended || c.left {
		return
	}
	c.left = true
	p := c.process
	p.deliver(0, func(now monotime.Instant) { p.node.CallerGone(now, c.id) })
}

// wait is the time between asking a group for a slot and its decision.
type wait struct {
	group    string
	from, to monotime.Instant
}

// waited notes a decision of a group. It was asked when the one before decided,
// or when the request came.
func (c *call) waited(group string) {
	from := c.arrived
	if n := len(c.waits); n > 0 {
		from = c.waits[n-1].to
	}
	c.waits = append(c.waits, wait{group: group, from: from, to: c.sim.loop.Now()})
}

// token is one token relayed to the caller.
func (c *call) token(st *stream, offset int, at monotime.Instant) {
	if c.ended || st.process != c.process || !c.process.alive {
		return
	}
	if offset != c.tokens || st.call != c {
		c.foreign = true
	}
	if c.tokens == 0 {
		c.first = at
	} else {
		c.gaps = append(c.gaps, float32(at.Sub(c.last).Seconds()))
	}
	c.tokens++
	c.last = at
	if c.class.Kind == inventory.ClassKindModel {
		st.attempt.Progress.RecordToken(at)
	}
}

func (c *call) finish(err *verdict.Error) {
	if c.ended {
		return
	}
	c.ended = true
	c.endedAt = c.sim.loop.Now()
	c.err = err
	c.sim.open--
	c.sim.watch.ended(c.sim, c)
}

// onTime reports whether the whole answer met every target of its class.
func (c *call) onTime() bool {
	if !c.served() {
		return false
	}
	if c.class.Deadline > 0 && c.endedAt.Sub(c.arrived) > c.class.Deadline {
		return false
	}
	if c.class.Kind != inventory.ClassKindModel {
		return true
	}
	if c.class.FirstToken > 0 && c.first.Sub(c.arrived) > c.class.FirstToken {
		return false
	}
	return c.class.TokenGap == 0 || c.gapP95() <= c.class.TokenGap
}

// served reports whether the caller got its whole answer.
func (c *call) served() bool {
	return c.ended && c.err == nil && !c.left && !c.lost
}

func (c *call) gapP95() time.Duration {
	if len(c.gaps) == 0 {
		return 0
	}
	sort.Slice(c.gaps, func(i, j int) bool { return c.gaps[i] < c.gaps[j] })
	return time.Duration(float64(c.gaps[len(c.gaps)*95/100]) * float64(time.Second))
}

// directory returns the instances of a customer: a few by rendezvous hashing
// among those believed alive, in random order, then the others.
func (s *sim) directory(customer *catalog.Customer) []*instance {
	const size = 3
	ranked := make([]*instance, 0, len(s.instances))
	for _, inst := range s.instances {
		if s.fleet.listed(inst) {
			ranked = append(ranked, inst)
		}
	}
	weight := func(i *instance) uint64 { return xxhash.Sum64String(i.name + "/" + customer.Name) }
	sort.Slice(ranked, func(i, j int) bool { return weight(ranked[i]) > weight(ranked[j]) })
	few := ranked[:min(size, len(ranked))]
	s.rng.Shuffle(len(few), func(i, j int) { few[i], few[j] = few[j], few[i] })
	return ranked
}
