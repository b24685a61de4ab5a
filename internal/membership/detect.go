package membership

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// OnPing answers a heartbeat.
func (c *Core) OnPing(now monotime.Instant, from string, ping *wire.Ping, eff Effects) {
	c.detectPause(now, eff)
	c.receivedFrom(now, from)
	e := c.find(from)
	if e != nil && !e.State.present() {
		c.sendUpdates(from, []wire.MemberUpdate{toWire(e.Member)}, eff)
	}
	eff.SendPeer(from, &wire.Envelope{Pong: &wire.Pong{
		Seq:      ping.Seq,
		Revision: int(c.revision),
		Leaving:  c.self.State == Leaving,
		Digest:   c.digest(),
	}})
}

// OnPong handles the answer to a heartbeat.
func (c *Core) OnPong(now monotime.Instant, from string, pong *wire.Pong, eff Effects) {
	c.detectPause(now, eff)
	c.receivedFrom(now, from)
	if pong.Seq >= c.confirmSeq && pong.Seq <= c.seq {
		c.setConfirmed(true)
	}
	ct := c.contacts[from]
	if ct == nil || pong.Digest == 0 || pong.Digest == c.digest() {
		if ct != nil {
			ct.mismatches = 0
		}
		return
	}
	// A single mismatch may be an update in transit; a lasting one is a lost update.
	ct.mismatches++
	if ct.mismatches >= mismatchesForSync && now.Sub(ct.syncedAt) >= syncBackoff {
		c.sendSync(now, from, ct, eff)
	}
}

// contact returns the record of a peer, and creates it if necessary.
func (c *Core) contact(id string) *contact {
	ct := c.contacts[id]
	if ct == nil {
		ct = &contact{}
		c.contacts[id] = ct
	}
	return ct
}

func (c *Core) contactIDs() []string {
	ids := make([]string, 0, len(c.contacts))
	for id := range c.contacts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Core) receivedFrom(now monotime.Instant, from string) {
	if ct := c.contacts[from]; ct != nil {
		c.markReceived(now, ct)
	}
}

func (c *Core) markReceived(now monotime.Instant, ct *contact) {
	ct.receivedAt = now
	ct.suspected = false
	c.lastReceived = now
	if ct.suspectedAt != 0 && now.Sub(ct.suspectedAt) >= suspectBackoffReset {
		ct.suspectedAt, ct.backoff = 0, 0
	}
}

// detect suspects each neighbour that has been out of contact for too long.
func (c *Core) detect(now monotime.Instant, eff Effects) {
	for _, id := range slices.Clone(c.neighbours) {
		ct := c.contacts[id]
		if now.Before(ct.contactLimit()) {
			continue
		}
		e := c.find(id)
		if e == nil {
			c.postpone(now, id)
			continue
		}
		if (e.State == Alive || e.State == Leaving) && c.maySuspect(now, ct) {
			c.suspect(now, e, ct, eff)
		}
	}
}

// contactLimit returns when a neighbour becomes suspect unless its contact changes.
func (ct *contact) contactLimit() monotime.Instant {
	if ct.up {
		return ct.receivedAt.Add(HeartbeatTimeout)
	}
	if ct.downAt > ct.requiredSince {
		return ct.downAt.Add(LostLinkGrace)
	}
	return ct.requiredSince.Add(DialTimeout)
}

// maySuspect limits how often one member suspects another that refutes each time. If the
// path between just these two is cut or flaps, the fleet would otherwise relay a
// suspicion and a refutation every few seconds. The other neighbours still detect a real
// death, so the limit hides none. With no other member there is nobody else to detect it,
// and the limit does not apply.
func (c *Core) maySuspect(now monotime.Instant, ct *contact) bool {
	if ct.suspectedAt == 0 || len(c.neighbours) < 2 {
		return !ct.suspected || now.Sub(ct.suspectedAt) >= suspectBackoff
	}
	return now.Sub(ct.suspectedAt) >= ct.backoff
}

func (c *Core) suspect(now monotime.Instant, e *entry, ct *contact, eff Effects) {
	c.stats.Suspected++
	ct.suspected = true
	ct.suspectedAt = now
	ct.backoff = nextBackoff(ct.backoff, suspectBackoff, maxSuspectBackoff)
	m := e.Member
	m.State = Suspect
	c.set(now, e, m)
	c.push([]wire.MemberUpdate{toWire(m)}, "", eff)
}

// postpone removes a listed instance that does not answer from the graph for a while: it
// may not have started yet, or the list may be outdated.
func (c *Core) postpone(now monotime.Instant, id string) {
	for _, cand := range c.candidates {
		if cand.id == id {
			cand.backoff = nextBackoff(cand.backoff, candidateBackoff, maxSuspectBackoff)
			cand.retry = now.Add(cand.backoff)
			c.graphDirty = true
		}
	}
}

// heartbeat sends the pings that are due. The member with the lower ID pings; the other
// one pings only if nothing arrives.
func (c *Core) heartbeat(now monotime.Instant, eff Effects) {
	for _, id := range c.neighbours {
		ct := c.contacts[id]
		if !ct.up || now.Sub(ct.pingedAt) < PingInterval {
			continue
		}
		overdue := now.Sub(ct.receivedAt) >= PingInterval+PingInterval/2
		if c.self.ID < id || overdue || !c.confirmed {
			c.ping(now, id, ct, eff)
		}
	}
}

func (c *Core) ping(now monotime.Instant, id string, ct *contact, eff Effects) {
	c.seq++
	ct.pingedAt = now
	eff.SendPeer(id, &wire.Envelope{Ping: &wire.Ping{
		Seq:      c.seq,
		Revision: int(c.revision),
		Leaving:  c.self.State == Leaving,
		Digest:   c.digest(),
	}})
}

// chooseProbe periodically picks one member that is unreachable but may be running, so
// that partitioned parts of the fleet merge again.
func (c *Core) chooseProbe(now monotime.Instant) {
	if c.probe.Address != "" && now >= c.probeEnd {
		c.probe = Target{}
	}
	if now.Before(c.nextProbe) {
		return
	}
	jitter := 0.75 + c.rng.Float64()/2
	c.nextProbe = now.Add(time.Duration(float64(ProbeInterval) * jitter))
	var options []Target
	for _, e := range c.entries {
		if e.mayStillRun() && e.PeerAddress != "" {
			options = append(options, Target{ID: e.ID, Address: e.PeerAddress})
		}
	}
	for _, cand := range c.candidates {
		if now.Before(cand.retry) {
			options = append(options, Target{ID: cand.id, Address: cand.address})
		}
	}
	if len(options) == 0 {
		return
	}
	c.probe = options[c.rng.IntN(len(options))]
	c.probeEnd = now.Add(probeTimeout)
}
