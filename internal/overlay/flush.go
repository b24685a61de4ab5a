package overlay

import (
	"slices"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// Holds reports whether there is anything to pass on.
func (n *Node) Holds() bool { return len(n.out.group)+len(n.out.others)+len(n.out.announce) > 0 }

// Due reports whether something is to be sent although there is no news.
func (n *Node) Due(now monotime.Instant) bool {
	return now.Sub(n.out.statusAt) >= statusInterval || n.passesOn() && now.Sub(n.out.fedAt) >= keepAlive
}

// passesOn reports whether news of others reach some instance over this one.
func (n *Node) passesOn() bool { return n.hub && !n.mesh || n.feeds(FeedAll) }

// Flush returns what is to be sent now: own news of what happened here, of which the
// oldest is since some time, what was held, and to all peers now and then what is in
// force here. urgent has all of them told now.
func (n *Node) Flush(own wire.RelayNews, since monotime.Instant, urgent bool, now monotime.Instant) []Frame {
	status := urgent || now.Sub(n.out.statusAt) >= statusInterval
	alive := n.passesOn() && now.Sub(n.out.fedAt) >= keepAlive
	header := wire.RelayNews{SentMS: int(int64(now) / int64(time.Millisecond)), Leaving: own.Leaving}
	if status || alive {
		header.ConfigVersion, header.Confirmed, header.Digest = own.ConfigVersion, own.Confirmed, own.Digest
	}
	numbered := n.complete(&own, since, now)
	// Peers hear of the links whatever they think this instance is: one that took it
	// for no hub because of links that are gone would never hear that they are.
	header.Neighbours = own.Neighbours
	status = status || len(header.Neighbours) > 0
	group := []wire.RelayNews{header}
	if numbered {
		group = append(group, own)
	}
	group = appendHeld(group, n.out.group, now)
	all := appendHeld(slices.Clone(group), n.out.others, now)
	n.out.group, n.out.others = nil, nil
	if status {
		n.out.statusAt = now
	}
	if status || alive {
		n.out.fedAt = now
	}
	return n.frames(group, all, status, status || alive)
}

// frames returns what each peer is to be sent: those that want nothing the header
// alone, and only when it tells what is in force, the others also when there is news.
func (n *Node) frames(group, all []wire.RelayNews, status, alive bool) (out []Frame) {
	var none, some, every []string
	for _, m := range n.list {
		switch {
		case !m.linked:
		case m.wants == FeedAll && (alive || len(all) > 1):
			every = append(every, m.ID)
		case m.wants == FeedGroup && (alive || len(group) > 1):
			some = append(some, m.ID)
		case m.wants < FeedGroup && status:
			none = append(none, m.ID)
		}
	}
	add := func(to []string, news []wire.RelayNews) {
		if len(to) > 0 {
			out = append(out, Frame{to, news})
		}
	}
	add(none, group[:1:1])
	add(some, group)
	add(every, all)
	return out
}

func appendHeld(out []wire.RelayNews, list []held, now monotime.Instant) []wire.RelayNews {
	for _, h := range list {
		h.news.HeldMS += int(now.Sub(h.at) / time.Millisecond)
		out = append(out, h.news)
	}
	return out
}

// complete makes own the next numbered news of this instance, if it tells anything.
func (n *Node) complete(own *wire.RelayNews, since, now monotime.Instant) bool {
	own.ConfigVersion, own.Confirmed, own.Digest = 0, 0, 0
	if !n.mesh {
		own.Members = n.out.announce
	}
	n.out.announce = nil
	own.Neighbours = n.linksDue(now)
	if len(own.Begun)+len(own.First)+len(own.Ended)+len(own.Servers)+len(own.Evacuations)+len(own.Caches)+len(own.Evidence)+len(own.Crashes)+
		len(own.Members)+len(own.Neighbours) == 0 && !own.Leaving {
		return false
	}
	n.out.number++
	own.Origin, own.Number = n.self.Incarnation, n.out.number
	if since != 0 {
		own.HeldMS = int(now.Sub(since) / time.Millisecond)
	}
	return true
}

// tellsLinks reports whether this instance tells the others whom it is linked to. One
// that told once goes on, whatever it is now, so that nobody believes in links that are
// gone: when a small data centre is cut off it is a mesh, and its instances would go
// on naming those outside to callers.
func (n *Node) tellsLinks() bool { return n.hub && !n.mesh || n.out.linksAt != 0 }

// linksDue returns the links that the others are to be told of, if they are.
func (n *Node) linksDue(now monotime.Instant) []string {
	if !n.tellsLinks() {
		return nil
	}
	links := n.links()
	if slices.Equal(links, n.out.links) && now.Sub(n.out.linksAt) < linksInterval {
		return nil
	}
	n.out.links, n.out.linksAt = links, now
	return links
}

// links returns the incarnations of the peers with a link.
func (n *Node) links() []string {
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
	return n.tellsLinks() && !slices.Equal(n.links(), n.out.links)
}
