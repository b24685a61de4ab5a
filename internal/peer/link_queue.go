package peer

import (
	"time"

	"basilrudder/internal/monotime"
)

// enqueue queues an envelope without blocking. A full queue means that the peer reads more
// slowly than this side sends. The link is then closed, which reports the loss to both
// sides; dropping single messages would not.
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

// append adds an envelope to the urgent or the bulk queue; mu is held.
func (l *link) append(o outgoing) {
	l.queuedBytes += o.cost()
	if o.isBulk() {
		l.bulk = append(l.bulk, o)
		return
	}
	l.queue = append(l.queue, o)
}

// appendPending queues envelopes that were pending when the link opened.
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

// takeQueued removes and returns the queued envelopes except bulk.
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

// takeAll removes and returns all queued envelopes.
func (l *link) takeAll() []outgoing {
	queue := l.takeQueued()
	l.mu.Lock()
	defer l.mu.Unlock()
	queue = append(queue, l.bulk...)
	l.bulk, l.queuedBytes = nil, 0
	return queue
}

// takeBulk removes and returns the next bulk envelope. ok is false while other envelopes
// are queued, there is no bulk, or the rate limit is reached; in the last case wait is the
// delay until the limit allows the envelope.
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

// delay returns the age of the oldest envelope that is not yet written.
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

// onlyBroadcasts reports whether all queued envelopes except bulk are broadcasts. Their
// sender has batched them already; a further delay would cost a timer per message on each
// link.
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

// hasQueued reports whether any envelope except bulk is queued.
func (l *link) hasQueued() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) > 0
}
