package crashes

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// minEnds is the number of ends that make content a culprit. A lower number would
	// refuse more content that was merely on servers that ended; a higher one costs more
	// servers.
	minEnds = 3
	// minEndsAfterRun is that number for content that has run without a crash within
	// exonerationTTL before, and minSinceRun how long before the last end that must have
	// been. In that time, other requests with harmless content of a busy route end.
	minEndsAfterRun = 5
	minSinceRun     = 2 * time.Second
	// momentGap separates two moments. Servers that end at once, with their data centre or
	// host, share content of all their requests; content that crashes them ends one after
	// the other.
	momentGap = 100 * time.Millisecond
	// culpritsTTL is how long the culprits are used before they are determined again
	// although nothing has changed: runs without a crash expire.
	culpritsTTL = time.Second
	// postponeRequestAfter and postponePartAfter are the numbers of ends after which content is
	// postponed that may have been on these servers by chance. More would cost too many servers.
	postponeRequestAfter, postponePartAfter = minEnds, minEndsAfterRun
)

// Decision is what becomes of a request because of its content.
type Decision int

const (
	// Send means that the request is sent on.
	Send Decision = iota
	// Postpone means that its content may crash servers, or may have been on servers that
	// ended for other reasons. It may be sent later.
	Postpone
	// Reject means that its content crashes servers.
	Reject
)

// Culprit is content that crashes servers, or may. Requests that carry all of it are
// refused.
type Culprit struct {
	// Decision is Reject, or Postpone where chance may explain the ends.
	Decision Decision
	// Contents is a request, or parts that can't be distinguished: each server that ended ran
	// a request with all of them.
	Contents []Fingerprint
	// Customer is the only one whose requests are refused; empty for those of all. A
	// customer may make servers end, and must not have the prompts of others refused by it.
	// It is empty for a whole request, whose fingerprint covers its caller.
	Customer string
	// Ends are the servers that ended, in order, and From the instances that reported
	// that.
	Ends, From []string
	// LastEnd is when the last one ended.
	LastEnd monotime.Instant
	// Chance is how likely these ends are if the content is harmless.
	Chance Chance
	// trials is the number of ends long after the one before, and extraEnds that of ends
	// after the content was postponed.
	trials, extraEnds int
}

// Poison reports whether an arriving request without parts is to be refused.
func (t *Tracker) Poison(request Fingerprint, now monotime.Instant) bool {
	_, refused := t.Refuses(Content{Request: request}, now, nil)
	return refused
}

// Refuses returns the culprit because of which a request is to be refused, if any, and
// false if it is sent on for trial. trial is nil if it must not be.
func (t *Tracker) Refuses(content Content, now monotime.Instant, trial *Trial) (Culprit, bool) {
	for _, c := range t.Culprits(now) {
		if !c.matches(&content) {
			continue
		}
		for _, f := range c.Contents {
			t.suspects[f].seenAt = now
		}
		if trial != nil && t.tryNow(&c, now, trial) {
			return c, false
		}
		return c, true
	}
	return Culprit{}, false
}

func (c *Culprit) matches(content *Content) bool {
	if c.Customer != "" && c.Customer != content.Customer {
		return false
	}
	for _, f := range c.Contents {
		if f != content.Request && !slices.Contains(content.Parts, f) {
			return false
		}
	}
	return true
}

// Culprits returns the fewest contents that explain the ends of servers.
func (t *Tracker) Culprits(now monotime.Instant) []Culprit {
	if t.changed || now.Sub(t.culpritsAt) > culpritsTTL {
		t.culprits, t.culpritsAt, t.changed = t.findCulprits(now), now, false
	}
	return t.culprits
}

// findCulprits returns all requests that are candidates, and the fewest parts that explain
// the ends under different requests: one after the other, those that explain most of the
// ends that are left. Parts that have run without a crash lately come last: they are
// culprits only if no others explain the ends.
func (t *Tracker) findCulprits(now monotime.Instant) (out []Culprit) {
	var parts []Fingerprint
	// Ends under content that is only postponed may still be chance for others.
	explained, confirmed := make(map[string]bool), make(map[string]bool)
	for f, s := range t.suspects {
		switch {
		case !s.isCandidate(minEnds):
		case s.whole:
			out = append(out, t.culprit([]Fingerprint{f}, t.chance(s, confirmed, now)))
		case !s.inOneRequest():
			parts = append(parts, f)
		}
	}
	slices.SortFunc(parts, func(x, y Fingerprint) int {
		p, q := t.suspects[x], t.suspects[y]
		return cmp.Or(cmp.Compare(p.rank(), q.rank()), cmp.Compare(len(q.ends), len(p.ends)), bytes.Compare(x[:], y[:]))
	})
	for i, f := range parts {
		s := t.suspects[f]
		chance := t.chance(s, confirmed, now)
		enough := min(chance.Required, postponePartAfter)
		if !s.isCandidate(enough) || s.countEnds(func(server string) bool { return !explained[server] }) < enough {
			continue
		}
		group := []Fingerprint{f}
		for _, g := range parts[i+1:] {
			if other := t.suspects[g]; other.rank() == s.rank() && s.alwaysBeside(other) {
				group = append(group, g)
			}
		}
		c := t.culprit(group, chance)
		for server := range s.ends {
			explained[server] = true
			confirmed[server] = confirmed[server] || c.Decision == Reject
		}
		out = append(out, c)
	}
	return out
}

// inOneRequest reports whether one and the same request carried the part at all ends: then
// the culprit is that request.
func (s *suspect) inOneRequest() bool {
	var first *run
	for _, e := range s.ends {
		for i := range e.runs {
			if first == nil {
				first = &e.runs[i]
			}
			if e.runs[i].request != first.request {
				return false
			}
		}
	}
	return true
}

// isCandidate reports whether content has as many ends as are required of a culprit. If it
// ran without a crash lately, at least minEndsAfterRun are.
func (s *suspect) isCandidate(required int) bool {
	if len(s.ends) < required {
		return false
	}
	unexonerated := func(server string) bool { return !s.ranBefore(s.ends[server].at) }
	if s.countEnds(unexonerated) >= required && (s.whole || s.moments(unexonerated) >= required) {
		return true
	}
	required = max(required, minEndsAfterRun)
	if len(s.ends) < required || s.survivedAt == 0 {
		return false
	}
	all := func(string) bool { return true }
	return s.ends[s.lastEnd()].at.Sub(s.survivedAt) >= minSinceRun && s.moments(all) >= required
}

// ranBefore reports whether the content ran without a crash within exonerationTTL before an
// end.
func (s *suspect) ranBefore(endedAt monotime.Instant) bool {
	return s.survivedAt != 0 && endedAt.Sub(s.survivedAt) <= exonerationTTL
}

// rank orders candidates: those that ran without a crash shortly before their first end
// come last.
func (s *suspect) rank() int {
	for _, e := range s.ends {
		if s.ranBefore(e.at) {
			return 1
		}
	}
	return 0
}

func (s *suspect) countEnds(counts func(server string) bool) (n int) {
	for server := range s.ends {
		if counts(server) {
			n++
		}
	}
	return n
}

// moments returns at how many different moments servers ended.
func (s *suspect) moments(counts func(server string) bool) (n int) {
	var at []monotime.Instant
	for server, e := range s.ends {
		if counts(server) {
			at = append(at, e.at)
		}
	}
	slices.Sort(at)
	var last monotime.Instant
	for _, endedAt := range at {
		if n == 0 || endedAt.Sub(last) >= momentGap {
			last = endedAt
			n++
		}
	}
	return n
}

// alwaysBeside reports whether both contents have the same ends, and at each a request that
// carried both.
func (s *suspect) alwaysBeside(other *suspect) bool {
	if len(s.ends) != len(other.ends) {
		return false
	}
	for server, e := range s.ends {
		o := other.ends[server]
		if o == nil || !slices.ContainsFunc(e.runs, func(r run) bool { return slices.Contains(o.runs, r) }) {
			return false
		}
	}
	return true
}

// culprit describes a group of contents with the same ends.
func (t *Tracker) culprit(group []Fingerprint, chance Chance) Culprit {
	s := t.suspects[group[0]]
	servers := make([]string, 0, len(s.ends))
	for server := range s.ends {
		servers = append(servers, server)
	}
	slices.SortFunc(servers, func(x, y string) int {
		return cmp.Or(cmp.Compare(s.ends[x].at, s.ends[y].at), cmp.Compare(x, y))
	})
	c := Culprit{Contents: group, Ends: servers, Chance: chance, Decision: Postpone, extraEnds: len(servers) - postponeRequestAfter}
	if !s.whole {
		c.Customer = s.onlyCustomer()
		c.extraEnds = max(0, len(servers)-postponePartAfter)
	}
	if !chance.Unsettled && s.isCandidate(chance.Required) {
		c.Decision = Reject
	}
	for i, server := range servers {
		e := s.ends[server]
		if !slices.Contains(c.From, e.from) {
			c.From = append(c.From, e.from)
		}
		if i > 0 && e.at.Sub(c.LastEnd) >= trialDelays[0] {
			c.trials++
		}
		c.LastEnd = e.at
	}
	return c
}

// onlyCustomer returns the customer who sent a request with the content to each server that
// ended; empty if there is none, or not one only.
func (s *suspect) onlyCustomer() string {
	counts := make(map[string]int)
	for _, e := range s.ends {
		var seen []string
		for _, r := range e.runs {
			if !slices.Contains(seen, r.customer) {
				seen = append(seen, r.customer)
				counts[r.customer]++
			}
		}
	}
	only, found := "", 0
	for customer, n := range counts {
		if n == len(s.ends) {
			only = customer
			found++
		}
	}
	if found != 1 {
		return ""
	}
	return only
}

// Confirmed returns the culprits whose ends chance does not explain.
func (t *Tracker) Confirmed(now monotime.Instant) (out []Culprit) {
	for _, c := range t.Culprits(now) {
		if c.Decision == Reject {
			out = append(out, c)
		}
	}
	return out
}
