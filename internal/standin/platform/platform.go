// Package platform is an HTTP stand-in for the configuration service and the instance
// list. It serves reads and watches and counts every call. Tests can delay its instance
// list and make it unavailable, hang or serve an old revision.
package platform

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/schema/platformapi"
	"basilrudder/internal/standin/faultnet"
)

// MaxValueBytes is the maximum size of a value. The client refuses answers longer than
// 1 MiB: a higher limit lets Publish accept values that no instance can read, a lower one
// refuses values that instances could read.
const MaxValueBytes = 1 << 20

// ManifestKey is the key under which the manifest is read. It must equal the client's key,
// or no revision is found.
const ManifestKey = "manifest"

// Mode selects how the service answers calls.
type Mode uint8

// Modes.
const (
	// Up serves the latest revision.
	Up Mode = iota
	// Down answers 503 to every call.
	Down
	// Hanging holds every call until the mode changes or the server closes.
	Hanging
	// Stale keeps serving the snapshot that was served when the mode was set.
	Stale
)

// Config configures a Server.
type Config struct {
	// InstanceLag is the delay until a change appears in the instance list; 0 for none.
	InstanceLag time.Duration
}

// File is a value to publish under its key.
type File struct {
	Key  string
	Data []byte
}

// Calls counts the calls received since the start. A watch counts once, however long it
// waits. Refused and held calls count too, calls to unknown paths don't.
type Calls struct {
	Values, Watches, Instances int
}

// Total returns the sum over all kinds of calls.
func (c Calls) Total() int {
	return c.Values + c.Watches + c.Instances
}

// snapshot is the published state at one time. It is immutable, so handlers read it
// without a lock.
type snapshot struct {
	revision  int
	values    map[string][]byte
	instances platformapi.InstanceList
}

// Server is a stand-in for the configuration service and the instance list.
type Server struct {
	*faultnet.Server
	cfg Config

	mu      sync.Mutex
	mode    Mode
	latest  *snapshot
	served  *snapshot
	history map[int]*snapshot // by published revision, for Rewind
	changed chan struct{}     // closed and replaced on each change of state or mode
	calls   Calls
	timers  []*time.Timer
}

// New returns a Server at revision 0, without values and instances.
func New(cfg Config) *Server {
	empty := &snapshot{instances: platformapi.InstanceList{Instances: []platformapi.Instance{}}}
	s := &Server{
		cfg:     cfg,
		latest:  empty,
		served:  empty,
		history: map[int]*snapshot{0: empty},
		changed: make(chan struct{}),
	}
	s.Server = faultnet.NewServer(s.handle)
	return s
}

// Close stops pending changes of the instance list, then the server and its connections.
func (s *Server) Close() {
	s.mu.Lock()
	for _, timer := range s.timers {
		timer.Stop()
	}
	s.mu.Unlock()
	s.Server.Close()
}

// Publish replaces all values by the files, writes their manifest and returns the new
// revision. On an error, for a key or size that is not allowed, nothing is published.
func (s *Server) Publish(files []File) (revision int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.latest
	next.revision++
	next.values = make(map[string][]byte, len(files)+1)
	manifest := platformapi.Manifest{Revision: next.revision}
	for _, file := range files {
		if err := checkFile(file); err != nil {
			return 0, err
		}
		digest := sha256.Sum256(file.Data)
		manifest.Chunks = append(manifest.Chunks, platformapi.Chunk{
			Key:    file.Key,
			SHA256: hex.EncodeToString(digest[:]),
			Bytes:  len(file.Data),
		})
		next.values[file.Key] = slices.Clone(file.Data)
	}
	data, err := json.Marshal(manifest)
	if err != nil {
		return 0, err
	}
	next.values[ManifestKey] = data
	s.history[next.revision] = &next
	s.setLatest(&next)
	return next.revision, nil
}

// checkFile refuses an empty key, the manifest's key and data above MaxValueBytes.
func checkFile(file File) error {
	if file.Key == "" || file.Key == ManifestKey {
		return errors.Errorf("key %q is empty or reserved for the manifest", file.Key)
	}
	if len(file.Data) > MaxValueBytes {
		return errors.Errorf("value %q has %d bytes, the limit is %d", file.Key, len(file.Data), MaxValueBytes)
	}
	return nil
}

// SetInstances replaces the instance list once Config.InstanceLag has passed. Each
// call increments the list's version, also if the list is the same.
func (s *Server) SetInstances(instances []platformapi.Instance) {
	instances = append([]platformapi.Instance{}, instances...)
	show := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		next := *s.latest
		next.instances = platformapi.InstanceList{
			Version:   next.instances.Version + 1,
			Instances: instances,
		}
		s.setLatest(&next)
	}
	if s.cfg.InstanceLag == 0 {
		show()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timers = append(s.timers, time.AfterFunc(s.cfg.InstanceLag, show))
}

// SetMode changes how the service answers calls, including those that it holds. Any mode
// but Stale serves the latest state again.
func (s *Server) SetMode(mode Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.setLatest(s.latest)
}

// Rewind sets the mode to Stale and serves the values and instances as they were when the
// revision was published, like a replica restored from an old copy. It returns an error if
// the revision was not published.
func (s *Server) Rewind(revision int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.history[revision]
	if !ok {
		return errors.Errorf("revision %d was not published", revision)
	}
	s.mode = Stale
	s.served = old
	s.setLatest(s.latest)
	return nil
}

// setLatest records the latest snapshot, serves it unless the mode is Stale, and wakes all
// held calls. The caller holds mu.
func (s *Server) setLatest(next *snapshot) {
	s.latest = next
	if s.mode != Stale {
		s.served = next
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the counts of calls received so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Revision returns the latest published revision. In mode Stale an older one may be served.
func (s *Server) Revision() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest.revision
}
