package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/streams"
	"basilrudder/internal/timer"
)

const (
	// streamQueryTimeout bounds the wait for peers that are asked for a stream, and for an
	// update that tells of it and is still on its way. Peers answer within a few ms; one that
	// is cut off never does.
	streamQueryTimeout = 150 * time.Millisecond
	// maxStreamPeers is the number of peers that are asked for one stream.
	maxStreamPeers = 8
	// maxStreamQueries bounds the streams that are asked for at once. Further ones count as
	// unknown.
	maxStreamQueries = 512
)

// streamQuery is a question to peers. done is closed once the stream is known.
type streamQuery struct {
	done  chan struct{}
	users int
}

// wake ends the query of a stream that has become known.
func (s *streamVersions) wake(key streams.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q := s.waiting[key]; q != nil {
		delete(s.waiting, key)
		close(q.done)
	}
}

// query asks peers for a stream and waits until it is known. Requests for the same stream
// share a query.
func (s *streamVersions) query(ctx context.Context, key streams.Key, service string) {
	q, first := s.join(key)
	if q == nil {
		return
	}
	defer s.leave(key, q)
	if first {
		s.asked.Add(1)
		s.ask(key, service)
	}
	timeout := timer.New(streamQueryTimeout)
	defer timeout.Stop()
	select {
	case <-q.done:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

func (s *streamVersions) join(key streams.Key) (q *streamQuery, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q = s.waiting[key]
	if q == nil {
		if len(s.waiting) >= maxStreamQueries {
			return nil, false
		}
		q, first = &streamQuery{done: make(chan struct{})}, true
		s.waiting[key] = q
	}
	q.users++
	return q, first
}

func (s *streamVersions) leave(key streams.Key, q *streamQuery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.users--
	if q.users == 0 && s.waiting[key] == q {
		delete(s.waiting, key)
	}
}

// askStreams asks some linked peers for a stream.
func (p *peers) askStreams(key streams.Key, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	linked := p.node.Linked()
	rand.Shuffle(len(linked), func(i, j int) { linked[i], linked[j] = linked[j], linked[i] })
	query := wire.RelayNews{StreamsWanted: []wire.RelayStreamQuery{{Key: int(key), Service: service}}}
	for _, id := range linked[:min(len(linked), maxStreamPeers)] {
		p.links.Send(id, &wire.Envelope{News: []wire.RelayNews{query}})
	}
}

// answerStreams answers a peer that asks for streams.
func (p *peers) answerStreams(to string, wanted []wire.RelayStreamQuery) {
	var out wire.RelayNews
	for _, w := range wanted {
		if origin := p.fleet.toldStream(streams.Key(w.Key), monotime.Now()); origin.Known {
			out.Streams = append(out.Streams, wire.RelayStreams{Software: origin.Version, Keys: []int{w.Key}})
			continue
		}
		p.concludeStream(to, w)
	}
	if len(out.Streams) > 0 {
		p.links.Send(to, &wire.Envelope{News: []wire.RelayNews{out}})
	}
}

// concludeStream answers a peer that asks for a stream of which this instance was not told, if
// its service has had one version only.
func (p *peers) concludeStream(to string, w wire.RelayStreamQuery) {
	s, now := p.fleet.streams, monotime.Now()
	if _, _, ok := s.only(w.Service, now); !ok {
		return
	}
	if s.concluding.Add(1) > maxStreamQueries {
		s.concluding.Add(-1)
		return
	}
	go func() {
		defer s.concluding.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), streamQueryTimeout)
		defer cancel()
		if origin := p.fleet.onlyVersion(ctx, w.Service, now); origin.Known {
			told := wire.RelayStreams{Software: origin.Version, Keys: []int{w.Key}}
			p.links.Send(to, &wire.Envelope{News: []wire.RelayNews{{Streams: []wire.RelayStreams{told}}}})
		}
	}()
}
