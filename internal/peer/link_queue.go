package peer

import (
	"time"

	"basilrudder/internal/monotime"
)

// enqueue adds an envelope without waiting. An over-full queue means that the
// peer reads more slowly than is sent; the link is closed, so that both sides
// know that messages were lost, where dropping some would leave them to guess.
func (l *link) enqueue(o outgoing) bool {
	add := o.cost()
	l.mu.Lock()
	if l.closing {
		l.mu.Unlock()
		return false
	}
	if l.queuedBytes+add > l.links.cfg.Timing.MaxQueueBytes {
		l.mu.Unlock()
		l.links.counters.queueFull.Add(1)
		l.close(errQueueFull)
		return false
	}
	o.queuedAt = monotime.Now()
	l.append(o)
	l.lastUsed = o.queuedAt
	l.mu.Unlock()
	l.wake()
	return true
}

// append puts an envelope into its queue; mu is held.
func (l *link) append(o outgoing) {
	l.queuedBytes += o.cost()
	if o.isBulk() {
		l.bulk = append(l.bulk, o)
		return
	}
	l.queue = append(l.queue, o)
}

// appendPending puts envelopes that waited for the link into its queue.
func (l *link) appendPending(pending []outgoing) {
	for _, o := range pending {
		l.append(o)
	}
	if len(pending) > 0 {
		l.wake()
	}
}

func (l *link) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// takeQueued returns what is queued but for bulk.
func (l *link) takeQueued() []outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queue
	l.queue = nil
	for _, o := range queue {
		l.queuedBytes -= o.cost()
	}
	return queue
}

// takeAll returns all that is queued.
func (l *link) takeAll() []outgoing {
	queue := l.takeQueued()
	l.mu.Lock()
	defer l.mu.Unlock()
	queue = append(queue, l.bulk...)
	l.bulk, l.queuedBytes = nil, 0
	return queue
}

// takeBulk returns the next of bulk. When something else is queued, or the pace does not
// allow it yet, there is none; wait is how long until it does, or 0.
func (l *link) takeBulk(now monotime.Instant) (o outgoing, wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) > 0 || len(l.bulk) == 0 {
		return outgoing{}, 0, false
	}
	if wait = l.links.bulkLimiter.reserve(l.bulk[0].cost(), now); wait > 0 {
		return outgoing{}, wait, false
	}
	o, l.bulk = l.bulk[0], l.bulk[1:]
	l.queuedBytes -= o.cost()
	return o, 0, true
}

func (l *link) setWritingSince(queuedAt monotime.Instant) {
	l.mu.Lock()
	l.writingSince = queuedAt
	l.mu.Unlock()
}

// delay returns how long ago the oldest message was queued that is not written yet.
func (l *link) delay(now monotime.Instant) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.writingSince != 0:
		return now.Sub(l.writingSince)
	case len(l.queue) > 0:
		return now.Sub(l.queue[0].queuedAt)
	case len(l.bulk) > 0:
		return now.Sub(l.bulk[0].queuedAt)
	default:
		return 0
	}
}

// onlyBroadcasts reports whether all that is queued is for several peers. Its sender has
// onlyBroadcasts it already, and a further wait on each link would be a timer a message.
func (l *link) onlyBroadcasts() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.queue {
		if o.shared == nil {
			return false
		}
	}
	return true
}

// hasQueued reports whether anything is queued but bulk.
func (l *link) hasQueued() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) > 0
}
