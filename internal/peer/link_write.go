package peer

import (
	"slices"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/go-faster/errors"

	"basilrudder/internal/monotime"
	"basilrudder/internal/timer"
)

// writeLoop sends queued envelopes, coalesced over a short delay, and pings while there is
// nothing else to send.
func (l *link) writeLoop() {
	timing := l.links.cfg.Timing
	keepAlive := timer.NewTicker(timing.KeepAliveInterval)
	defer keepAlive.Stop()
	bulkTimer := timer.NewStopped()
	defer bulkTimer.Stop()
	idleTicks := time.Duration(0)
	for {
		select {
		case <-l.done:
			return
		case <-l.wakeup:
			if !l.onlyBroadcasts() && !timer.Sleep(timing.CoalesceDelay, l.done) {
				return
			}
			idleTicks = -1
			if err := l.flush(bulkTimer); err != nil {
				l.close(err)
				return
			}
		case <-bulkTimer.C:
			idleTicks = -1
			if err := l.flush(bulkTimer); err != nil {
				l.close(err)
				return
			}
		case <-keepAlive.C:
			idleTicks++
			if idleTicks < l.timeFactor() {
				continue
			}
			idleTicks = 0
			if err := l.sendPing(); err != nil {
				l.close(err)
				return
			}
		}
	}
}

// flush writes the queued envelopes, then bulk as far as the rate limit allows. It sets
// bulkTimer for the rest.
func (l *link) flush(bulkTimer *timer.Timer) error {
	for {
		for _, o := range coalesce(l.takeQueued()) {
			if err := l.send(o); err != nil {
				return err
			}
		}
		o, wait, ok := l.takeBulk(monotime.Now())
		switch {
		case wait > 0:
			bulkTimer.Reset(wait)
			return nil
		case ok:
			if err := l.send(o); err != nil {
				return err
			}
		case !l.hasQueued():
			return nil
		}
	}
}

func (l *link) send(o outgoing) error {
	l.setWritingSince(o.queuedAt)
	defer l.setWritingSince(0)
	data, err := o.encode(l.compression)
	if err != nil {
		return err
	}
	l.links.counters.framesOut.Add(1)
	countFrame(&l.links.counters.out, o.env, len(data), l.dialer)
	if err := l.writeMessage(data); err != nil {
		return errors.Wrap(err, "write")
	}
	return nil
}

// fragmentBytes is the maximum number of bytes written under one deadline. With larger
// fragments a slow but working link could exceed the deadline; smaller ones cost more calls.
const fragmentBytes = 16 << 10

// writeMessage writes a message in fragments, each with its own deadline. The deadline ends
// a write to a stopped or disconnected peer, for which TCP would retry for minutes. A peer
// behind a slow link stays connected as it reads fragment after fragment.
func (l *link) writeMessage(data []byte) error {
	writer, err := l.conn.NextWriter(websocket.BinaryMessage)
	if err != nil {
		return err
	}
	for fragment := range slices.Chunk(data, fragmentBytes) {
		l.conn.SetWriteDeadline(time.Now().Add(l.links.cfg.Timing.PeerTimeout))
		if _, err := writer.Write(fragment); err != nil {
			return err
		}
	}
	return writer.Close()
}

func (l *link) sendPing() error {
	deadline := time.Now().Add(l.links.cfg.Timing.PeerTimeout)
	if err := l.conn.WriteControl(websocket.PingMessage, nil, deadline); err != nil {
		return errors.Wrap(err, "write ping")
	}
	l.links.counters.framesOut.Add(1)
	l.links.counters.out[KindFraming].Add(uint64(frameOverhead(0, l.dialer)))
	return nil
}
