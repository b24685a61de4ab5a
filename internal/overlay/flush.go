package overlay

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// HasPending reports whether there is anything to pass on.
func (n *Node) HasPending() bool { return len(n.out.group)+len(n.out.others)+len(n.out.newPeers) > 0 }

// StatusDue reports whether something is to be sent although there is no news.
func (n *Node) StatusDue(now monotime.Instant) bool {
	return now.Sub(n.out.statusSentAt) >= statusInterval || n.relaysUpdates() && now.Sub(n.out.feedsSentAt) >= keepAlive
}

// relaysUpdates reports whether news of others reach some instance over this one.
func (n *Node) relaysUpdates() bool { return n.hub && !n.mesh || n.hasPeerWithFeed(FeedAll) }

// Flush returns what is to be sent now: own news of what happened here, of which the
// oldest is since some time, what was held, and to all peers now and then what is in
// force here. urgent has all of them told now.
func (n *Node) Flush(own wire.RelayNews, since monotime.Instant, urgent bool, now monotime.Instant) []Frame {
	statusDue := urgent || now.Sub(n.out.statusSentAt) >= statusInterval
	keepAliveDue := n.relaysUpdates() && now.Sub(n.out.feedsSentAt) >= keepAlive
	header := wire.RelayNews{SentMS: int(int64(now) / int64(time.Millisecond)), Leaving: own.Leaving}
	if statusDue || keepAliveDue {
		header.ConfigVersion, header.Confirmed, header.Digest = own.ConfigVersion, own.Confirmed, own.Digest
	}
	hasOwn := n.finishOwn(&own, since, now)
	// Peers hear of the links whatever they think this instance is: one that took it
	// for no hub because of links that are gone would never hear that they are.
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

// frames returns what each peer is to be sent: those that want nothing the header
// alone, and only when it tells what is in force, the others also when there is news.
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

// finishOwn makes own the next numbered news of this instance, if it tells anything.
func (n *Node) finishOwn(own *wire.RelayNews, since, now monotime.Instant) bool {
	own.ConfigVersion, own.Confirmed, own.Digest = 0, 0, 0
	if !n.mesh {
		own.Members = n.out.newPeers
	}
	n.out.newPeers = nil
	own.Neighbours = n.linksDue(now)
	if len(own.Begun)+len(own.First)+len(own.Ended)+len(own.Servers)+len(own.Evacuations)+len(own.Caches)+len(own.Evidence)+len(own.Crashes)+
		len(own.Members)+len(own.Neighbours) == 0 && !own.Leaving {
		return false
	}
	n.out.lastNumber++
	own.Origin, own.Number = n.self.Incarnation, n.out.lastNumber
	if since != 0 {
		own.HeldMS = int(now.Sub(since) / time.Millisecond)
	}
	return true
}

// advertisesLinks reports whether this instance tells the others whom it is linked to. One
// that told once goes on, whatever it is now, so that nobody believes in links that are
// gone: when a small data centre is cut off it is a mesh, and its instances would go
// on naming those outside to callers.
func (n *Node) advertisesLinks() bool { return n.hub && !n.mesh || n.out.linksSentAt != 0 }

// linksDue returns the links that the others are to be told of, if they are.
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

// LinksChanged reports whether the others are to be told of links soon.
func (n *Node) LinksChanged() bool {
	return n.advertisesLinks() && !slices.Equal(n.linkedIncarnations(), n.out.sentLinks)
}
