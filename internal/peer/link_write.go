package peer

import (
	"slices"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/go-faster/errors"

	"basilrudder/internal/monotime"
)

// write sends what is queued, coalesced over a short delay, and a sign of life
// when there was nothing to send.
func (l *link) write() {
	timing := l.set.cfg.Timing
	life := time.NewTicker(timing.SignOfLife)
	defer life.Stop()
	paced := time.NewTimer(time.Hour)
	defer paced.Stop()
	quiet := time.Duration(0)
	for {
		select {
		case <-l.done:
			return
		case <-l.kick:
			if !l.gathered() && !l.pause(timing.Coalesce) {
				return
			}
			quiet = -1
			if err := l.flush(paced); err != nil {
				l.close(err)
				return
			}
		case <-paced.C:
			quiet = -1
			if err := l.flush(paced); err != nil {
				l.close(err)
				return
			}
		case <-life.C:
			quiet++
			if quiet < l.patience() {
				continue
			}
			quiet = 0
			if err := l.signOfLife(); err != nil {
				l.close(err)
				return
			}
		}
	}
}

func (l *link) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-l.done:
		return false
	case <-timer.C:
		return true
	}
}

// flush writes what is queued, and of bulk what there is time for. paced is set for the
// rest.
func (l *link) flush(paced *time.Timer) error {
	for {
		for _, o := range coalesce(l.take()) {
			if err := l.send(o); err != nil {
				return err
			}
		}
		o, wait, ok := l.takeBulk(monotime.Now())
		switch {
		case wait > 0:
			paced.Reset(wait)
			return nil
		case ok:
			if err := l.send(o); err != nil {
				return err
			}
		case !l.waits():
			return nil
		}
	}
}

func (l *link) send(o outgoing) error {
	l.noteWriting(o.queuedAt)
	defer l.noteWriting(0)
	data, err := o.encode(l.packs)
	if err != nil {
		return err
	}
	l.set.counters.framesOut.Add(1)
	count(&l.set.counters.out, o.env, len(data), l.dialer)
	if err := l.writeMessage(data); err != nil {
		return errors.Wrap(err, "write")
	}
	return nil
}

// fragmentBytes is the most that is written under one deadline.
const fragmentBytes = 16 << 10

// writeMessage writes a message in fragments. A peer that is stopped or cut off does not
// read, and the deadline of a fragment ends the wait that TCP would draw out for minutes;
// a peer behind a slow link takes one fragment after the other.
func (l *link) writeMessage(data []byte) error {
	writer, err := l.conn.NextWriter(websocket.BinaryMessage)
	if err != nil {
		return err
	}
	for fragment := range slices.Chunk(data, fragmentBytes) {
		l.conn.SetWriteDeadline(time.Now().Add(l.set.cfg.Timing.Silence))
		if _, err := writer.Write(fragment); err != nil {
			return err
		}
	}
	return writer.Close()
}

func (l *link) signOfLife() error {
	deadline := time.Now().Add(l.set.cfg.Timing.Silence)
	if err := l.conn.WriteControl(websocket.PingMessage, nil, deadline); err != nil {
		return errors.Wrap(err, "write sign of life")
	}
	l.set.counters.framesOut.Add(1)
	l.set.counters.out[KindFraming].Add(uint64(framing(0, l.dialer)))
	return nil
}
