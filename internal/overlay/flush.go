package overlay

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// HasPending reports whether there is anything to relay.
func (n *Node) HasPending() bool { return len(n.out.group)+len(n.out.others)+len(n.out.newPeers) > 0 }

// StatusDue reports whether a status or keep-alive must be sent although there are no
// updates.
func (n *Node) StatusDue(now monotime.Instant) bool {
	return now.Sub(n.out.statusSentAt) >= statusInterval || n.relaysUpdates() && now.Sub(n.out.feedsSentAt) >= keepAlive
}

// relaysUpdates reports whether updates of others reach some instance through this one.
func (n *Node) relaysUpdates() bool { return n.hub && !n.mesh || n.hasPeerWithFeed(FeedAll) }

// Flush returns what to send now: own updates, the oldest event of which happened at
// since, pending updates of others, and periodically the configuration in force here. If
// urgent is set, the latter goes to all peers now.
func (n *Node) Flush(own wire.RelayNews, since monotime.Instant, urgent bool, now monotime.Instant) []Frame {
	statusDue := urgent || now.Sub(n.out.statusSentAt) >= statusInterval
	keepAliveDue := n.relaysUpdates() && now.Sub(n.out.feedsSentAt) >= keepAlive
	header := wire.RelayNews{SentMS: int(int64(now) / int64(time.Millisecond)), Leaving: own.Leaving}
	if statusDue || keepAliveDue {
		header.ConfigVersion, header.Confirmed, header.Digest = own.ConfigVersion, own.Confirmed, own.Digest
	}
	hasOwn := n.finishOwn(&own, since, now)
	// All peers receive the links, whatever role they assign to this instance. A peer
	// that takes it for no hub because of links that are gone would otherwise never
	// receive the correction.
	header.Neighbours = own.Neighbours
	statusDue = statusDue || len(header.Neighbours) > 0
	group := []wire.RelayNews{header}
	if hasOwn {
		group = append(group, own)
	}
	group = appendPending(group, n.out.group, now)
	all := appendPending(slices.Clone(group), n.out.others, now)
	n.out.group, n.out.others = nil, nil
	if statusDue {
		n.out.statusSentAt = now
	}
	if statusDue || keepAliveDue {
		n.out.feedsSentAt = now
	}
	return n.frames(group, all, statusDue, statusDue || keepAliveDue)
}

// frames returns what to send to each peer. Peers without a feed receive the header only,
// and only if the status is due; the others also receive updates when there are any.
func (n *Node) frames(group, all []wire.RelayNews, sendStatus, sendFeeds bool) (out []Frame) {
	var statusOnly, groupPeers, subscribers []string
	for _, m := range n.list {
		switch {
		case !m.linked:
		case m.outFeed == FeedAll && (sendFeeds || len(all) > 1):
			subscribers = append(subscribers, m.ID)
		case m.outFeed == FeedGroup && (sendFeeds || len(group) > 1):
			groupPeers = append(groupPeers, m.ID)
		case m.outFeed < FeedGroup && sendStatus:
			statusOnly = append(statusOnly, m.ID)
		}
	}
	add := func(to []string, updates []wire.RelayNews) {
		if len(to) > 0 {
			out = append(out, Frame{to, updates})
		}
	}
	add(statusOnly, group[:1:1])
	add(groupPeers, group)
	add(subscribers, all)
	return out
}

func appendPending(out []wire.RelayNews, pending []pendingUpdate, now monotime.Instant) []wire.RelayNews {
	for _, h := range pending {
		h.update.HeldMS += int(now.Sub(h.receivedAt) / time.Millisecond)
		out = append(out, h.update)
	}
	return out
}

// finishOwn makes own the next numbered update of this instance, and reports false if own
// has no content.
func (n *Node) finishOwn(own *wire.RelayNews, since, now monotime.Instant) bool {
	own.ConfigVersion, own.Confirmed, own.Digest = 0, 0, 0
	if !n.mesh {
		own.Members = n.out.newPeers
	}
	n.out.newPeers = nil
	own.Neighbours = n.linksDue(now)
	if len(own.Begun)+len(own.First)+len(own.Ended)+len(own.Paces)+len(own.Servers)+len(own.Evacuations)+len(own.Caches)+len(own.Evidence)+len(own.Crashes)+len(own.Falls)+
		len(own.Streams)+len(own.Members)+len(own.Neighbours) == 0 && !own.Leaving && own.FullMS == 0 {
		return false
	}
	n.out.lastNumber++
	own.Origin, own.Number = n.self.Incarnation, n.out.lastNumber
	if since != 0 {
		own.HeldMS = int(now.Sub(since) / time.Millisecond)
	}
	return true
}

// advertisesLinks reports whether this instance sends its links to the others. Once it
// has done so it continues in any role, because the others must not keep links that are
// gone: when a small data centre is cut off it becomes a mesh, and its instances would go
// on naming those outside to callers.
func (n *Node) advertisesLinks() bool { return n.hub && !n.mesh || n.out.linksSentAt != 0 }

// linksDue returns the links if they are due to be sent to the others, or else nil.
func (n *Node) linksDue(now monotime.Instant) []string {
	if !n.advertisesLinks() {
		return nil
	}
	links := n.linkedIncarnations()
	if slices.Equal(links, n.out.sentLinks) && now.Sub(n.out.linksSentAt) < linksInterval {
		return nil
	}
	n.out.sentLinks, n.out.linksSentAt = links, now
	return links
}

// linkedIncarnations returns the incarnations of the peers with a link.
func (n *Node) linkedIncarnations() []string {
	var out []string
	for _, m := range n.list {
		if m.linked {
			out = append(out, m.Incarnation)
		}
	}
	return out
}

// LinksChanged reports whether changed links are due to be sent to the others.
func (n *Node) LinksChanged() bool {
	return n.advertisesLinks() && !slices.Equal(n.linkedIncarnations(), n.out.sentLinks)
}
