package peer

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/standin/narrownet"
)

// The HTTP library starts a goroutine for the Date header with its first response and never
// stops it. It must be started outside of virtual time.
var _ = new(fasthttp.ResponseHeader).Header()

func incompressible(n int) []byte {
	out := make([]byte, n)
	rng := rand.NewChaCha8([32]byte{})
	_, _ = rng.Read(out) // it never fails
	return out
}

const slowLinkRate = 10e6 / 8 // bytes per second

// startSlow connects two instances over slow links in virtual time. stop ends both.
func startSlow(t *testing.T, timing Timing) (a, b *instance, stop func()) {
	t.Helper()
	for monotime.Now() <= 0 { // virtual time begins before the start of the process
		time.Sleep(365 * 24 * time.Hour)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var tasks errgroup.Group
	network := narrownet.New()
	startInstance := func(id string) *instance {
		host := network.Host(id, slowLinkRate)
		in := &instance{
			recorder: &recorder{make(chan received, 4096), make(chan Identity, 4096), make(chan error, 4096)},
			address:  id + ":1",
		}
		links, err := New(Config{
			Self:     Identity{ID: id, Incarnation: "1", DataCentre: "dc1", PeerAddress: in.address},
			Keys:     []Key{{"k1", "a secret of the fleet"}},
			Listener: host.Listen(in.address), Dial: host.Dial,
			Handler: in.recorder, Timing: timing,
		})
		if err != nil {
			t.Fatal(err)
		}
		in.Links = links
		tasks.Go(func() error { return links.Run(ctx) })
		return in
	}
	a, b = startInstance("a"), startInstance("b")
	a.SetTargets([]Target{{ID: "b", Address: b.address}})
	<-a.up
	<-b.up
	b.SetTargets([]Target{{ID: "a", Address: a.address}})
	return a, b, func() {
		cancel()
		if err := tasks.Wait(); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute) // the HTTP library's servers clean up at their next tick
	}
}

// Guards against a link that times out while it receives a long message over a slow network.
func TestLongMessageDoesNotTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, stop := startSlow(t, Timing{KeepAliveInterval: 200 * time.Millisecond, PeerTimeout: 700 * time.Millisecond})
		long := &wire.Envelope{ConfigPart: &wire.ConfigPart{Data: incompressible(slowLinkRate)}}
		for _, side := range []struct {
			from, to *instance
			id       string
		}{{a, b, "b"}, {b, a, "a"}} {
			side.from.Send(side.id, long)
			select {
			case got := <-side.to.envelopes:
				if n := len(got.env.ConfigPart.Data); n != len(long.ConfigPart.Data) {
					t.Errorf("received %d bytes", n)
				}
			case err := <-side.to.down:
				t.Errorf("link to %s lost: %v", side.id, err)
			}
		}
		stop()
	})
}

// Guards against urgent messages that are delayed by queued pieces of a configuration.
func TestUrgentMessagesPassConfigurationPieces(t *testing.T) {
	const pieces, pieceBytes = 64, 32 << 10
	const whole = pieces * pieceBytes * time.Second / slowLinkRate
	for _, rate := range []int{0, slowLinkRate / 2} {
		synctest.Test(t, func(t *testing.T) {
			timing := Timing{KeepAliveInterval: 200 * time.Millisecond, PeerTimeout: 700 * time.Millisecond, BulkRate: rate}
			a, b, stop := startSlow(t, timing)
			for n := range pieces {
				a.Send("b", &wire.Envelope{ConfigPart: &wire.ConfigPart{Offset: n, Data: incompressible(pieceBytes)}})
			}
			time.Sleep(whole / 10)
			sent := time.Now()
			a.Send("b", &wire.Envelope{News: []wire.RelayNews{{Leaving: true}}})
			var took time.Duration
			for n := 0; n < pieces; {
				got := <-b.envelopes
				if len(got.env.News) > 0 {
					took = time.Since(sent)
				}
				if piece := got.env.ConfigPart; piece != nil {
					if piece.Offset != n {
						t.Fatalf("received piece %d at position %d", piece.Offset, n)
					}
					n++
				}
			}
			if limit := whole / 10; took == 0 || took > limit {
				t.Errorf("urgent message took %v, limit %v; all pieces take %v", took, limit, whole)
			}
			stop()
		})
	}
}

// Guards against bulk that exceeds its rate limit.
func TestBulkRateLimit(t *testing.T) {
	limiter := bulkLimiter{rate: 1 << 20}
	now, sent := monotime.Instant(time.Hour), 0
	until := now.Add(time.Second)
	for now < until {
		if wait := limiter.reserve(32<<10, now); wait > 0 {
			now = now.Add(wait)
			continue
		}
		sent += 32 << 10
	}
	if minimum, maximum := 1<<20, 1<<20+bulkBurst+32<<10; sent < minimum || sent > maximum {
		t.Errorf("%d bytes in a second, want %d to %d", sent, minimum, maximum)
	}
}
