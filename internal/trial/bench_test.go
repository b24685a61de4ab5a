package trial

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	spec "basilrudder/internal/schema/inventory"
)

// route is one way to the same engines: straight, or through a daemon. Both are
// walked by the same client.
type route struct {
	name    string
	address string
	header  string
	// ids says that each request needs an id of its own; last is the latest.
	ids  bool
	last atomic.Int64
}

// benchFleet has one daemon before one server with two engines.
func benchFleet(b *testing.B, stepMS float64, slots int) (direct, proxied *route) {
	b.Helper()
	inv := testInventory(b)
	inv.Servers = inv.Servers[:1]
	inv.Servers[0].Engines = []spec.Engine{
		{Name: "e", Models: []string{"writer"}, Slots: slots, StepMS: stepMS, PrefillTokensPerS: 10_000_000},
	}
	inv.Classes = inv.Classes[:2]
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	b.Cleanup(cancel)
	fleet, err := Start(ctx, Config{Inventory: inv, Instances: 1, Records: io.Discard, IDPrefix: fmt.Sprintf("b%d-", worlds.Add(1))})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(fleet.Abort)
	direct = &route{
		name:    "direct",
		address: inv.Servers[0].Address,
		header:  "POST /v1/generate HTTP/1.1\r\nHost: s\r\nX-Engine: e\r\n",
		ids:     true,
	}
	proxied = &route{
		name:    "proxied",
		address: fleet.Members[0].Callers,
		header:  "POST /v1/chat/completions HTTP/1.1\r\nHost: s\r\nX-Request-Class: draft\r\nAuthorization: Bearer " + CredentialPrefix + testCustomer + "\r\n",
	}
	return direct, proxied
}

// client is one connection that sends one request after the other.
type client struct {
	conn net.Conn
	in   *bufio.Reader
	out  []byte
}

func dial(tb testing.TB, r *route) *client {
	tb.Helper()
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		tb.Fatal(err)
	}
	return &client{conn: conn, in: bufio.NewReader(conn)}
}

func (c *client) send(r *route, tokens int) error {
	body := fmt.Sprintf(`{"stream":true,"model":"writer","max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, tokens)
	c.out = append(c.out[:0], r.header...)
	if r.ids {
		c.out = fmt.Appendf(c.out, "X-Request-Id: r%d\r\n", r.last.Add(1))
	}
	c.out = fmt.Appendf(c.out, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := c.conn.Write(c.out)
	return err
}

// token returns when the next token has come; false at the end of the answer.
func (c *client) token() (bool, error) {
	for {
		line, err := c.in.ReadSlice('\n')
		if err != nil {
			return false, err
		}
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case bytes.HasPrefix(line, []byte("data: {")):
			return true, nil
		case len(line) == 1 && line[0] == '0':
			_, err := c.in.ReadSlice('\n')
			return false, err
		}
	}
}

// run sends a request and reads its answer.
func (c *client) run(r *route, tokens int, each func()) error {
	if err := c.send(r, tokens); err != nil {
		return err
	}
	for got := 0; ; got++ {
		more, err := c.token()
		if err != nil {
			return err
		}
		if !more {
			if got != tokens {
				return fmt.Errorf("%d of %d tokens by %s", got, tokens, r.name)
			}
			return nil
		}
		each()
	}
}

// cpuTime is the processor time of this process, the kernel's for it included.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cost is what a part of a benchmark took of the whole process.
type cost struct {
	time, cpu time.Duration
	allocs    uint64
	bytes     uint64
}

func measure(do func()) cost {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu, begun := cpuTime(), time.Now()
	do()
	c := cost{time: time.Since(begun), cpu: cpuTime() - cpu}
	runtime.ReadMemStats(&after)
	c.allocs = after.Mallocs - before.Mallocs
	c.bytes = after.TotalAlloc - before.TotalAlloc
	return c
}

func (c cost) report(b *testing.B, name, per string, n int) {
	b.ReportMetric(float64(c.time.Nanoseconds())/float64(n), name+"-ns/"+per)
	b.ReportMetric(float64(c.cpu.Nanoseconds())/float64(n), name+"-cpu-ns/"+per)
	b.ReportMetric(float64(c.allocs)/float64(n), name+"-allocs/"+per)
	b.ReportMetric(float64(c.bytes)/float64(n), name+"-B/"+per)
}

// BenchmarkRequest is one request of one token after the other, straight to the
// stand-in and through a daemon. The client and the stand-in are in both; what
// is more is the daemon.
func BenchmarkRequest(b *testing.B) {
	direct, proxied := benchFleet(b, 0.1, 64)
	var delays [2][]time.Duration
	for i, r := range []*route{direct, proxied} {
		c := dial(b, r)
		defer c.conn.Close()
		warm(b, c, r)
		spent := measure(func() {
			for range b.N {
				begun := time.Now()
				if err := c.run(r, 1, func() {}); err != nil {
					b.Fatal(err)
				}
				delays[i] = append(delays[i], time.Since(begun))
			}
		})
		spent.report(b, r.name, "request", b.N)
	}
	reportAdded(b, delays)
}

func warm(b *testing.B, c *client, r *route) {
	b.Helper()
	for range 3 {
		if err := c.run(r, 1, func() {}); err != nil {
			b.Fatal(err)
		}
	}
}

func reportAdded(b *testing.B, delays [2][]time.Duration) {
	for _, p := range []int{50, 99} {
		added := percentile(delays[1], p) - percentile(delays[0], p)
		b.ReportMetric(float64(added.Nanoseconds()), fmt.Sprintf("added-p%d-ns", p))
	}
}

func percentile(d []time.Duration, p int) time.Duration {
	slices.Sort(d)
	return d[min(len(d)*p/100, len(d)-1)]
}

// BenchmarkToken is many streams at once at the pace of engines, straight to the
// stand-in and through a daemon. The difference of the processor times is what
// a daemon takes to relay a token. One iteration is one answer of each stream.
func BenchmarkToken(b *testing.B) {
	const streams, tokens, stepMS = 128, 100, 10
	direct, proxied := benchFleet(b, stepMS, streams)
	var spent [2]cost
	for i, r := range []*route{direct, proxied} {
		clients := make([]*client, streams)
		for n := range clients {
			clients[n] = dial(b, r)
			defer clients[n].conn.Close()
			warm(b, clients[n], r)
		}
		spent[i] = measure(func() {
			for range b.N {
				runAll(b, clients, r, tokens)
			}
		})
		spent[i].report(b, r.name, "token", b.N*streams*tokens)
	}
	relay := float64((spent[1].cpu - spent[0].cpu).Nanoseconds()) / float64(b.N*streams*tokens)
	b.ReportMetric(relay, "relay-cpu-ns/token")
	b.ReportMetric(1e9/relay, "tokens/s/core")
}

func runAll(b *testing.B, clients []*client, r *route, tokens int) {
	b.Helper()
	var group sync.WaitGroup
	for _, c := range clients {
		group.Go(func() {
			if err := c.run(r, tokens, func() {}); err != nil {
				b.Error(err)
			}
		})
	}
	group.Wait()
}

// BenchmarkTokenDelay is how much later a token comes through a daemon. Streams
// both ways run in one batch of the engine, so that their tokens are generated at
// the same instants, a step apart; each token of the one way is compared with
// the nearest of the other.
func BenchmarkTokenDelay(b *testing.B) {
	const stepMS, tokens, background = 30, 100, 128
	direct, proxied := benchFleet(b, stepMS, background+2)
	crowd := make([]*client, background)
	for n := range crowd {
		crowd[n] = dial(b, proxied)
		defer crowd[n].conn.Close()
	}
	var added []time.Duration
	for range b.N {
		var group sync.WaitGroup
		group.Go(func() { runAll(b, crowd, proxied, tokens) })
		var times [2][]time.Time
		for i, r := range []*route{direct, proxied} {
			c := dial(b, r)
			defer c.conn.Close()
			group.Go(func() {
				if err := c.run(r, tokens, func() { times[i] = append(times[i], time.Now()) }); err != nil {
					b.Error(err)
				}
			})
		}
		group.Wait()
		added = append(added, nearest(times[0], times[1], stepMS*time.Millisecond/2)...)
	}
	for _, p := range []int{50, 99} {
		b.ReportMetric(float64(percentile(added, p).Nanoseconds()), fmt.Sprintf("added-p%d-ns/token", p))
	}
}

// nearest returns how much later than the closest instant of base each of later
// is, where one lies within the window.
func nearest(base, later []time.Time, window time.Duration) (out []time.Duration) {
	for _, at := range later {
		best := window
		for _, from := range base {
			if d := at.Sub(from); d.Abs() < best.Abs() {
				best = d
			}
		}
		if best != window {
			out = append(out, best)
		}
	}
	return out
}
