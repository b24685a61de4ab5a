package node

import (
	"time"

	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/sched"
	"basilrudder/internal/schema/wire"
)

// renewalsPerLease is how often a holder renews its slots per lease. With 3, one lost
// message costs no slot; after two in a row the next one is due as the lease ends.
const renewalsPerLease = 3

// expireRequests starts resumptions that are due and refuses waiting requests whose
// deadline or queue wait limit has passed.
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

// renewLeases reports to the owners which slots are still in use, and the tokens relayed
// since the last report.
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

// renewAtNewOwners reports running requests to a new owner of their group at once, so that
// it does not grant slots that are in use.
func (n *Node) renewAtNewOwners(now monotime.Instant) {
	n.renew(now, func(r *request) bool { return n.ownerOf(r.group) != r.owner })
}

type renewalKey struct {
	owner string
	group *catalog.Group
}

// progressItem returns what the owner that granted the slot needs for a renewal.
func progressItem(r *request, tokens int) wire.ProgressItem {
	return wire.ProgressItem{Seq: int(r.seq), Tokens: tokens}
}

// adoptionItem returns what a new owner needs to record the slot.
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

// release returns a slot to its owner, with the result of the attempt.
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
