package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/paths"
	"basilrudder/internal/relay"
	"basilrudder/internal/servers"
)

const (
	// maxSuspectDraws bounds the servers drawn in search of one without a failure.
	maxSuspectDraws = 8
	// quietService is how long no server of a service must have answered for a server
	// that does not answer to be probed.
	quietService = 400 * time.Millisecond
	// probeInterval is the least time between two probes while a service is lost, over all
	// services, and singleProbeInterval while single servers are not reached.
	probeInterval       = 250 * time.Millisecond
	singleProbeInterval = time.Second
)

// noteAnswer records that a server of a service answered.
func (c *connector) noteAnswer(service string, now monotime.Instant) {
	at, ok := c.answered.Load(service)
	if !ok {
		at, _ = c.answered.LoadOrStore(service, new(atomic.Int64))
	}
	at.(*atomic.Int64).Store(int64(now))
}

func (c *connector) lastAnswer(service string) monotime.Instant {
	at, ok := c.answered.Load(service)
	if !ok {
		return never
	}
	return monotime.Instant(at.(*atomic.Int64).Load())
}

// Unanswered implements relay.Connector. If no server of the service answers, the path may
// be lost, and kept connections would not show it for a long time.
func (c *connector) Unanswered(target relay.Target) {
	now := monotime.Now()
	quiet := now.Sub(c.lastAnswer(target.Service)) >= quietService
	if quiet && now.Sub(monotime.Instant(c.probedAt.Load())) >= probeInterval {
		c.startProbe(target.Server)
	}
}

// probe tries a suspected server directly unless the last probe was too recent. It is
// called periodically, so that the end of a cut is found without callers' requests.
func (c *connector) probe(now monotime.Instant) {
	since := now.Sub(monotime.Instant(c.probedAt.Load()))
	if since < probeInterval {
		return
	}
	s, urgent, ok := c.suspect(now)
	if ok && (urgent || since >= singleProbeInterval) {
		c.startProbe(s)
	}
}

// suspect returns a server to probe. It is urgent if its service is lost, or would be
// after a further failure.
func (c *connector) suspect(now monotime.Instant) (s servers.Server, urgent, ok bool) {
	suspects := c.paths.Suspects(now)
	suspects = append(suspects, c.unverifiedServices(suspects)...)
	rand.Shuffle(len(suspects), func(i, j int) { suspects[i], suspects[j] = suspects[j], suspects[i] })
	// Requests of a service that is known to be lost go through peers; those of one that may
	// be lost wait for servers in vain.
	slices.SortStableFunc(suspects, func(a, b paths.Suspect) int { return lostLast(&a) - lostLast(&b) })
	for _, suspect := range suspects {
		if s, ok := c.urgentSuspect(&suspect, now); ok {
			return s, true, true
		}
	}
	for _, suspect := range suspects {
		if s, ok := find(c.fleet.serverList(suspect.Service).accepting, suspect.Failed); ok {
			return s, false, true
		}
	}
	return servers.Server{}, false, false
}

func lostLast(s *paths.Suspect) int {
	if s.Lost {
		return 1
	}
	return 0
}

// unverifiedServices returns the services that have not answered since another one was
// lost: they may be lost too, and their few requests would find out late.
func (c *connector) unverifiedServices(suspects []paths.Suspect) (out []paths.Suspect) {
	since := never
	for _, suspect := range suspects {
		if suspect.Lost {
			since = max(since, suspect.Since)
		}
	}
	if since == never {
		return nil
	}
	for _, service := range c.fleet.services() {
		if c.lastAnswer(service) <= since && !c.paths.Lost(service) {
			out = append(out, paths.Suspect{Service: service, Unconfirmed: true})
		}
	}
	return out
}

// urgentSuspect returns a random server of a lost service, or one without a failure of a
// service that may be lost.
func (c *connector) urgentSuspect(suspect *paths.Suspect, now monotime.Instant) (servers.Server, bool) {
	list := c.fleet.serverList(suspect.Service).accepting
	if len(list) == 0 || !suspect.Lost && !suspect.Unconfirmed {
		return servers.Server{}, false
	}
	for range maxSuspectDraws {
		s := list[rand.IntN(len(list))]
		if suspect.Lost || c.paths.Direct(s.Service, s.ID, now) {
			return s, true
		}
	}
	return servers.Server{}, false
}

// startProbe probes a server unless another probe runs.
func (c *connector) startProbe(s servers.Server) {
	if !c.probing.CompareAndSwap(false, true) {
		return
	}
	c.probedAt.Store(int64(monotime.Now()))
	go func() {
		conn, err := relay.Dial(context.Background(), c.dial, s.Address)
		if err == nil {
			_ = conn.Close()
		}
		c.probing.Store(false) // recording a failure may start the next probe
		c.record(s, err)
	}()
}
