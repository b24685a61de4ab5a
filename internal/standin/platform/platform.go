// Package platform is a stand-in for the configuration service and the instance
// list: values under a manifest, a waiting watch, a list that lags, counted
// calls, and modes in which the service is down or stale.
package platform

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"basilrudder/internal/schema/platformapi"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

const (
	manifestKey    = "manifest"
	pathValues     = "/v1/values/"
	pathWatch      = "/v1/watch"
	pathInstances  = "/v1/instances"
	longestWatchMS = 60_000
)

// ErrTooLarge is returned for a value above MaxValueBytes.
var ErrTooLarge = errors.New("value is larger than the service holds")

// Value is one published value.
type Value struct {
	// Key of the value.
	Key string
	// Data of the value.
	Data []byte
}

// Calls counts calls by kind.
type Calls struct {
	// Watches, Values and Lists count calls of each path; Refused those made
	// while the service was down.
	Watches, Values, Lists, Refused atomic.Uint64
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	http  *fasthttp.Server
	stop  chan struct{}
	calls Calls

	mu        sync.Mutex
	revision  int
	versions  []published
	list      platformapi.InstanceList
	listLag   time.Duration
	down      bool
	staleAt   int
	changed   chan struct{}
	closeOnce sync.Once
}

type published struct {
	manifest []byte
	values   map[string][]byte
}

// New returns a service without values.
func New() *Platform {
	p := &Platform{
		stop:     make(chan struct{}),
		versions: []published{{}},
		changed:  make(chan struct{}),
	}
	p.http = &fasthttp.Server{Handler: p.handle, NoDefaultServerHeader: true, CloseOnShutdown: true}
	return p
}

// Serve answers until Close.
func (p *Platform) Serve(ln net.Listener) error {
	return p.http.Serve(ln)
}

// Close ends the service.
func (p *Platform) Close() {
	p.closeOnce.Do(func() {
		close(p.stop)
		_ = p.http.Shutdown()
	})
}

// Calls returns the counters.
func (p *Platform) Calls() *Calls {
	return &p.calls
}

// Publish makes the values one new revision and returns its number.
func (p *Platform) Publish(values []Value) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := published{values: make(map[string][]byte, len(values))}
	manifest := platformapi.Manifest{Revision: p.revision + 1}
	for _, v := range values {
		if len(v.Data) > MaxValueBytes {
			return 0, errors.Wrap(ErrTooLarge, v.Key)
		}
		sum := sha256.Sum256(v.Data)
		next.values[v.Key] = v.Data
		manifest.Chunks = append(manifest.Chunks, platformapi.Chunk{
			Key: v.Key, SHA256: hex.EncodeToString(sum[:]), Bytes: len(v.Data),
		})
	}
	data, err := json.Marshal(manifest)
	if err != nil {
		return 0, err
	}
	next.manifest = data
	p.versions = append(p.versions, next)
	p.revision++
	p.wake()
	return p.revision, nil
}

// SetInstances replaces the instance list; readers see it after the lag.
func (p *Platform) SetInstances(instances []platformapi.Instance) {
	p.mu.Lock()
	lag := p.listLag
	p.mu.Unlock()
	apply := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.list = platformapi.InstanceList{Version: p.list.Version + 1, Instances: instances}
		p.wake()
	}
	if lag == 0 {
		apply()
		return
	}
	time.AfterFunc(lag, apply)
}

// SetListLag sets how late the instance list is.
func (p *Platform) SetListLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listLag = lag
}

// SetDown makes the service refuse every call, or serve again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wake()
}

// SetStale makes the service tell an old revision; 0 for the newest.
func (p *Platform) SetStale(revision int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleAt = revision
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// told returns the revision that the service tells.
func (p *Platform) told() int {
	if p.staleAt > 0 {
		return min(p.staleAt, p.revision)
	}
	return p.revision
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	p.count(path)
	if p.isDown() {
		p.calls.Refused.Add(1)
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	switch {
	case path == pathWatch:
		p.watch(ctx)
	case path == pathInstances:
		p.mu.Lock()
		list := p.list
		p.mu.Unlock()
		writeJSON(ctx, list)
	case strings.HasPrefix(path, pathValues):
		p.value(ctx, strings.TrimPrefix(path, pathValues))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *Platform) count(path string) {
	switch {
	case path == pathWatch:
		p.calls.Watches.Add(1)
	case path == pathInstances:
		p.calls.Lists.Add(1)
	default:
		p.calls.Values.Add(1)
	}
}

func (p *Platform) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

func (p *Platform) value(ctx *fasthttp.RequestCtx, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := p.versions[p.told()]
	data := version.manifest
	if key != manifestKey {
		data = version.values[key]
	}
	if data == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(data)
}

func (p *Platform) watch(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	revision := args.GetUintOrZero("revision")
	instances := args.GetUintOrZero("instances")
	wait := min(args.GetUintOrZero("timeout_ms"), longestWatchMS)
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		p.mu.Lock()
		answer := platformapi.WatchAnswer{Revision: p.told(), InstancesVersion: p.list.Version}
		changed, down := p.changed, p.down
		p.mu.Unlock()
		if down {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		if answer.Revision > revision || answer.InstancesVersion > instances {
			writeJSON(ctx, answer)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			ctx.SetStatusCode(fasthttp.StatusNoContent)
			return
		case <-p.stop:
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(value); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}
