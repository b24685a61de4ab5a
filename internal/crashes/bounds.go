package crashes

import (
	"bytes"
	"maps"

	"basilrudder/internal/monotime"
)

// Expire drops contents that have been absent for longer than Retention.
func (t *Tracker) Expire(now monotime.Instant) {
	for f, s := range t.suspects {
		if now.Sub(s.seenAt) > Retention {
			t.remove(f)
		}
	}
	t.forgetEnds(func(e *ended) bool { return now.Sub(e.at) > Retention })
	maps.DeleteFunc(t.fallen, func(_ string, endedAt monotime.Instant) bool { return now.Sub(endedAt) > Retention })
}

// evict removes a content if there are too many after one was added: the least suspected
// other one, of the same customer if that has too many, or else of all.
func (t *Tracker) evict(added Fingerprint) {
	customer := t.suspects[added].customer
	switch {
	case t.perCustomer[customer] > MaxPerCustomer:
		t.removeLeastSuspected(added, func(s *suspect) bool { return s.customer == customer })
	case len(t.suspects) > maxSuspects:
		t.removeLeastSuspected(added, func(*suspect) bool { return true })
	}
}

func (t *Tracker) removeLeastSuspected(except Fingerprint, eligible func(*suspect) bool) {
	least, found := Fingerprint{}, false
	for f, s := range t.suspects {
		if f == except || !eligible(s) {
			continue
		}
		if !found || t.lessSuspected(f, least) {
			least, found = f, true
		}
	}
	if found {
		t.remove(least)
	}
}

func (t *Tracker) remove(f Fingerprint) {
	customer := t.suspects[f].customer
	delete(t.suspects, f)
	t.changed = true
	if t.perCustomer[customer]--; t.perCustomer[customer] == 0 {
		delete(t.perCustomer, customer)
	}
}

// lessSuspected orders contents by how strongly they are suspected.
func (t *Tracker) lessSuspected(x, y Fingerprint) bool {
	p, q := t.suspects[x], t.suspects[y]
	if len(p.ends) != len(q.ends) {
		return len(p.ends) < len(q.ends)
	}
	if p.seenAt != q.seenAt {
		return p.seenAt < q.seenAt
	}
	return bytes.Compare(x[:], y[:]) < 0
}
