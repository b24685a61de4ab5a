package node

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/sched"
	"basilrudder/internal/schema/wire"
)

// renewalsPerLease is how often a holder renews within one lease, so that two
// lost messages in a row cost no slot.
const renewalsPerLease = 3

// expireRequests refuses waiting requests whose deadline has passed, asks again
// where an owner fell silent, and starts resumptions that are due.
func (n *Node) expireRequests(now monotime.Instant) {
	for r := n.order.head; r != nil; r = r.next {
		if r.state == stateResuming && !now.Before(r.resumeAt) {
			n.resume(now, r)
		}
	}
	isLate := func(r *request) bool { return r.late(now) }
	n.forEachWaiting(isLate, func(r *request) {
		n.withdraw(now, r)
		n.refuse(now, r, deadlineError())
	})
}

// renewLeases tells owners which slots are still in use, and the tokens since.
func (n *Node) renewLeases(now monotime.Instant) {
	cat := n.catalog.Load()
	if cat == nil {
		return
	}
	interval := msToDuration(cat.Rules.GrantLeaseMS) / renewalsPerLease
	if now.Sub(n.renewedAt) < interval {
		return
	}
	n.renewedAt = now
	n.renew(now, func(*request) bool { return true })
	n.recordMarks(now)
}

// renewAtNewOwners tells a new owner at once what runs in its group, so that it does
// not hand out slots that are in use.
func (n *Node) renewAtNewOwners(now monotime.Instant) {
	n.renew(now, func(r *request) bool { return n.ownerOf(r.group) != r.owner })
}

type renewalKey struct {
	owner string
	group *catalog.Group
}

// progressItem is what an owner that gave the slot needs.
func progressItem(r *request, tokens int) wire.ProgressItem {
	return wire.ProgressItem{Seq: int(r.seq), Tokens: tokens}
}

// adoptionItem is what a new owner needs to take the slot into its books.
func (n *Node) adoptionItem(r *request, tokens int) wire.ProgressItem {
	item := progressItem(r, tokens)
	item.Engine = r.engine.ID
	item.Class = int(r.Class.Hash)
	item.Customer = int(r.Customer.Hash)
	item.Tier = r.tier
	item.HoldMS = n.expectedHoldMS(r)
	return item
}

func (n *Node) renew(now monotime.Instant, match func(*request) bool) {
	var keys []renewalKey
	items := make(map[renewalKey][]wire.ProgressItem)
	for r := n.order.head; r != nil; r = r.next {
		if r.state == stateWaiting || !match(r) {
			continue
		}
		itemOf := progressItem
		if owner := n.ownerOf(r.group); owner != r.owner {
			r.owner = owner
			itemOf = n.adoptionItem
		}
		key := renewalKey{owner: r.owner, group: r.group}
		if items[key] == nil {
			keys = append(keys, key)
		}
		tokens := r.tokens()
		items[key] = append(items[key], itemOf(r, tokens-r.reportedTokens))
		r.reportedTokens = tokens
	}
	for _, key := range keys {
		n.sendProgress(now, key.owner, wire.Progress{Group: key.group.Name, Items: items[key]})
	}
}

func (n *Node) sendProgress(now monotime.Instant, owner string, msg wire.Progress) {
	if owner == n.self() {
		n.onProgress(now, n.self(), msg)
		return
	}
	n.eff.Send(owner, &wire.Envelope{Progress: []wire.Progress{msg}})
}

// release gives a slot back to the owner.
func (n *Node) release(now monotime.Instant, owner, group string, seq uint64, result sched.Result) {
	msg := wire.Release{
		Seq:          int(seq),
		Group:        group,
		Tokens:       result.Tokens,
		FirstTokenMS: int(result.FirstToken / time.Millisecond),
		GapUS:        int(result.Gap / time.Microsecond),
		Outcome:      int(result.Outcome),
	}
	if owner == n.self() {
		n.onRelease(now, n.self(), msg)
		return
	}
	n.eff.Send(owner, &wire.Envelope{Releases: []wire.Release{msg}})
}
