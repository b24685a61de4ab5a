package instance

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/catalog"
	"basilrudder/internal/confsync"
	"basilrudder/internal/membership"
	"basilrudder/internal/monotime"
	"basilrudder/internal/node"
	"basilrudder/internal/reqid"
	"basilrudder/internal/sched"
	"basilrudder/internal/schema/accounting"
	"basilrudder/internal/schema/platformapi"
	"basilrudder/internal/schema/wire"
	"basilrudder/internal/verdict"
	"basilrudder/internal/vtime"
)

const (
	linkDelay        = 2 * time.Millisecond
	engineDelay      = 200 * time.Millisecond
	peerPort         = "127.0.0.1:1"
	addressSuffix    = ".peer:1"
	propagationLimit = 3 * time.Second // until a published change is in force everywhere
	platformDelay    = 5 * time.Millisecond
)

var errUnreachable = errors.New("unreachable")

// fleet simulates instances, the platform and engines in virtual time. It is also the
// network: it delivers envelopes and drops those between partitioned places.
type fleet struct {
	vtime.Loop
	t              *testing.T
	procs          []*process
	starts         int
	latestRevision uint64
	// manifests holds the manifest of each published revision.
	manifests map[uint64][]byte
	chunks    map[string][]byte
	// servedRevision is the revision that the platform serves; a stale platform serves an
	// older one than latestRevision.
	servedRevision uint64
	platformDown   bool
	// partitioned reports whether two places cannot reach each other; "" is the platform.
	partitioned func(a, b string) bool
	// runs counts starts at engines by request id.
	runs map[string]int
	// startedAt is the time at which each server last got new work.
	startedAt   map[string]monotime.Instant
	errs        map[string]*verdict.Error
	ended       map[string]bool
	engineError func(a node.Attempt) *verdict.Error
}

// process is one run of an instance and its links to peers.
type process struct {
	f                 *fleet
	id                string
	dc                string
	inst              *Instance
	self              reqid.Incarnation
	bootedAt          monotime.Instant
	links             map[string]bool
	linkTargets       []membership.Target
	dead              bool
	pausedUntil       monotime.Instant
	deferred          []func()
	installedRevision uint64
}

func newFleet(t *testing.T, count int) *fleet {
	f := &fleet{
		t:           t,
		manifests:   make(map[uint64][]byte),
		chunks:      make(map[string][]byte),
		partitioned: func(string, string) bool { return false },
		runs:        make(map[string]int),
		startedAt:   make(map[string]monotime.Instant),
		errs:        make(map[string]*verdict.Error),
		ended:       make(map[string]bool),
		engineError: func(node.Attempt) *verdict.Error { return nil },
	}
	f.Run(time.Second)
	f.publish("")
	for i := range count {
		p := &process{f: f, id: fmt.Sprintf("i%d", i), dc: fmt.Sprintf("dc%d", i%2)}
		f.procs = append(f.procs, p)
	}
	for _, p := range f.procs {
		p.boot()
	}
	return f
}

// publish publishes a revision in which the named server is withdrawn.
func (f *fleet) publish(withdrawn string) {
	f.latestRevision++
	text := `
[[data_centres]]
name = "dc0"
region = "r"
[[data_centres]]
name = "dc1"
region = "r"
[[models]]
name = "m"
[[tiers]]
tier = 0
name = "all"
[[classes]]
name = "once"
tier = 0
kind = "model"
model = "m"
deadline_ms = 8000
[[customers]]
name = "c"
credential_sha256 = ["` + hex.EncodeToString(make([]byte, sha256.Size)) + `"]
[rules]
servers_per_group = 2
`
	for i := range 4 {
		name := fmt.Sprintf("s%d", i)
		text += fmt.Sprintf("[[servers]]\nname = %q\ndata_centre = \"dc%d\"\naddress = \"127.0.0.1:%d\"\nkind = \"model\"\nwithdrawn = %v\n"+
			"[[servers.engines]]\nname = \"e\"\nmodels = [\"m\"]\nslots = 8\n", name, i%2, 9000+i, name == withdrawn)
	}
	sum := sha256.Sum256([]byte(text))
	key := fmt.Sprintf("inventory-%d.toml", f.latestRevision)
	f.chunks[key] = []byte(text)
	manifest, _ := json.Marshal(platformapi.Manifest{Revision: int(f.latestRevision), Chunks: []platformapi.Chunk{
		{Key: key, SHA256: hex.EncodeToString(sum[:]), Bytes: len(text)}}})
	f.manifests[f.latestRevision] = manifest
	f.servedRevision = f.latestRevision
}

func (f *fleet) list() *platformapi.InstanceList {
	list := &platformapi.InstanceList{Version: f.starts}
	for _, p := range f.procs {
		if !p.dead {
			list.Instances = append(list.Instances, platformapi.Instance{ID: p.id, DataCentre: p.dc,
				CallerAddress: peerPort, PeerAddress: p.id + addressSuffix, State: platformapi.InstanceStateLive})
		}
	}
	return list
}

func (p *process) boot() {
	p.f.starts++
	p.dead, p.deferred, p.pausedUntil = false, nil, 0
	p.bootedAt = p.f.Now()
	p.links = make(map[string]bool)
	p.self = reqid.NewIncarnation(p.id, time.UnixMilli(int64(p.f.Now()/1e6)), uint32(p.f.starts))
	p.inst = New(p.clock(), Config{
		Node: node.Config{Self: p.self, DataCentre: p.dc, Policy: sched.Default(), Seed: uint64(p.f.starts)},
		Self: membership.Member{ID: p.id, Incarnation: p.self.Token, DataCentre: p.dc,
			CallerAddress: peerPort, PeerAddress: p.id + addressSuffix, Epoch: uint64(p.f.Now() / 1e9)},
		Seeds: []string{"i0" + addressSuffix, "i1" + addressSuffix},
	}, &fleetEffects{p})
	p.tick(p.self)
}

func (p *process) clock() monotime.Instant { return p.f.Now() - p.bootedAt + 1 }

func (p *process) deliver(self reqid.Incarnation, do func()) {
	switch {
	case p.dead || p.self != self:
	case p.f.Now() < p.pausedUntil:
		p.deferred = append(p.deferred, do)
	default:
		do()
	}
}

func (p *process) tick(self reqid.Incarnation) {
	if p.dead || p.self != self {
		return
	}
	if p.f.Now() >= p.pausedUntil {
		p.inst.Tick(p.clock())
		p.updateLinks()
	}
	p.f.After(TickInterval, func() { p.tick(self) })
}

func (p *process) pause(d time.Duration) {
	p.pausedUntil = p.f.Now().Add(d)
	self := p.self
	p.f.After(d, func() {
		missed := p.deferred
		p.deferred = nil
		for _, do := range missed {
			p.deliver(self, do)
		}
	})
}

func (p *process) kill() {
	p.dead = true
	for _, q := range p.f.procs {
		if q.links[p.id] {
			q.unlink(p.id)
		}
	}
}

func (p *process) unlink(id string) {
	delete(p.links, id)
	p.deliver(p.self, func() { p.inst.OnLinkDown(p.clock(), id) })
}

// updateLinks closes links that are partitioned and opens the link targets that are
// reachable.
func (p *process) updateLinks() {
	for _, id := range p.linkedPeers() {
		if p.f.partitioned(p.id, id) {
			p.unlink(id)
		}
	}
	for _, target := range p.linkTargets {
		p.open(strings.TrimSuffix(target.Address, addressSuffix))
	}
}

func (p *process) linkedPeers() []string {
	var out []string
	for id := range p.links {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (p *process) open(id string) bool {
	q := p.f.proc(id)
	if q == nil || q == p || q.dead || q.inst == nil || p.f.partitioned(p.id, id) || p.f.Now() < q.pausedUntil {
		return p.links[id]
	}
	if !p.links[id] {
		p.links[id], q.links[p.id] = true, true
		p.f.After(linkDelay, func() { p.deliver(p.self, func() { p.inst.OnLinkUp(p.clock(), id) }) })
		p.f.After(linkDelay, func() { q.deliver(q.self, func() { q.inst.OnLinkUp(q.clock(), p.id) }) })
	}
	return true
}

func (f *fleet) proc(id string) *process {
	for _, p := range f.procs {
		if p.id == id {
			return p
		}
	}
	return nil
}

// send submits a caller's request to a process and returns its id.
func (f *fleet) send(p *process) string {
	prefix, _ := p.self.Prefix(time.UnixMilli(int64(f.Now()/1e6)), node.IDLifetime)
	f.starts++
	id := fmt.Sprintf("%sr%d", prefix, f.starts)
	p.deliver(p.self, func() { f.recordAnswer(id, p.submit(id)) })
	return id
}

func (p *process) submit(id string) *verdict.Error {
	cat := p.inst.Node().Catalog()
	if cat == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonNotReady, "no configuration")
	}
	_, err := p.inst.Node().Submit(p.clock(), node.Request{
		ID: id, Customer: cat.Customers["c"], Class: cat.Classes["once"], PromptTokens: 10})
	return err
}

func (f *fleet) recordAnswer(id string, err *verdict.Error) {
	if err != nil {
		f.ended[id] = true
		f.errs[id] = err
	}
}

// fleetEffects implements Effects in the simulated fleet.
type fleetEffects struct{ p *process }

func (e *fleetEffects) Send(to string, env *wire.Envelope) {
	p := e.p
	q := p.f.proc(to)
	if !p.open(to) {
		p.f.After(linkDelay, func() { p.unlink(to) })
		return
	}
	self := q.self
	p.f.After(linkDelay, func() {
		if !p.f.partitioned(p.id, to) {
			q.deliver(self, func() { q.inst.OnEnvelope(q.clock(), p.id, env) })
		}
	})
}

func (e *fleetEffects) Start(a node.Attempt) {
	f, p, self := e.p.f, e.p, e.p.self
	if !a.Resume {
		f.runs[a.RequestID]++
		f.startedAt[a.Engine.Server.Spec.Name] = f.Now()
	}
	err := f.engineError(a)
	f.After(engineDelay, func() {
		p.deliver(self, func() {
			a.Progress.RecordToken(p.clock())
			p.inst.Node().AttemptEnded(p.clock(), a.Seq, a.Number, err)
		})
	})
}

func (e *fleetEffects) CancelAttempt(string) {}

func (e *fleetEffects) Finish(id string, err *verdict.Error) {
	f, p, self := e.p.f, e.p, e.p.self
	f.ended[id] = true
	f.errs[id] = err
	f.After(linkDelay, func() {
		p.deliver(self, func() { p.inst.Node().Delivered(p.clock(), id) })
	})
}

func (e *fleetEffects) Record(accounting.Record) {}
func (e *fleetEffects) Report(event confsync.Event) {
	if event.Err != nil {
		e.p.f.t.Logf("%s: %+v", e.p.id, event)
	}
}
func (e *fleetEffects) SetLinkTargets(t []membership.Target) { e.p.linkTargets = t }
func (e *fleetEffects) Installed(cat *catalog.Catalog)       { e.p.installedRevision = cat.Revision }

// callPlatform delivers the result of a platform call, or errUnreachable.
func (e *fleetEffects) callPlatform(wait time.Duration, answer func(now monotime.Instant, err error)) {
	p, self := e.p, e.p.self
	p.f.After(wait+platformDelay, func() {
		var err error
		if p.f.platformDown || p.f.partitioned(p.id, "") {
			err = errUnreachable
		}
		p.deliver(self, func() { answer(p.clock(), err) })
	})
}

func (e *fleetEffects) Watch(call confsync.Call, revision uint64, instances int, wait time.Duration) {
	f := e.p.f
	changed := f.servedRevision > revision || f.starts > instances
	deadline := f.Now().Add(wait)
	self := e.p.self
	var poll func()
	poll = func() {
		if e.p.dead || e.p.self != self {
			return
		}
		changed = f.servedRevision > revision || f.starts > instances
		if changed || f.Now() >= deadline || f.platformDown || f.partitioned(e.p.id, "") {
			e.callPlatform(0, func(now monotime.Instant, err error) {
				answer := &platformapi.WatchAnswer{Revision: int(f.servedRevision), InstancesVersion: f.starts}
				if !changed {
					answer = nil
				}
				e.p.inst.OnWatch(now, call, answer, err)
			})
			return
		}
		f.After(50*time.Millisecond, poll)
	}
	poll()
}

func (e *fleetEffects) FetchManifest(call confsync.Call) {
	data := e.p.f.manifests[e.p.f.servedRevision]
	e.callPlatform(0, func(now monotime.Instant, err error) { e.p.inst.OnManifest(now, call, data, err) })
}

func (e *fleetEffects) FetchChunk(call confsync.Call, key string) {
	e.callPlatform(0, func(now monotime.Instant, err error) { e.p.inst.OnChunk(now, call, e.p.f.chunks[key], err) })
}

func (e *fleetEffects) FetchInstances(call confsync.Call) {
	list := e.p.f.list()
	e.callPlatform(0, func(now monotime.Instant, err error) { e.p.inst.OnInstances(now, call, list, err) })
}
