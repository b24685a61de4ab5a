// Package platform is an HTTP stand-in for the configuration service and the
// instance list. It can be read and watched, counts every call, lags, and can
// be down, hang or serve an old revision.
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

// MaxValueBytes is the size limit of a value in bytes.
const MaxValueBytes = 1 << 20

// ManifestKey is the key of the manifest.
const ManifestKey = "manifest"

// Mode is how the service behaves.
type Mode uint8

// Modes.
const (
	// Up serves the latest revision.
	Up Mode = iota
	// Down answers 503 to every call.
	Down
	// Hanging answers no call.
	Hanging
	// Stale serves what was the latest when the mode was set.
	Stale
)

// Config of a platform.
type Config struct {
	// InstanceLag is how late the instance list shows a change.
	InstanceLag time.Duration
}

// File is a value to publish.
type File struct {
	Key  string
	Data []byte
}

// Calls counts the calls since the start, a waiting watch as one.
type Calls struct {
	Values, Watches, Instances int
}

// Total is the sum of all calls.
func (c Calls) Total() int {
	return c.Values + c.Watches + c.Instances
}

// snapshot is what the service holds at one time; it is never changed.
type snapshot struct {
	revision  int
	values    map[string][]byte
	instances platformapi.InstanceList
}

// Server is one platform.
type Server struct {
	*faultnet.Server
	cfg Config

	mu      sync.Mutex
	mode    Mode
	latest  *snapshot
	served  *snapshot
	history map[int]*snapshot // published revisions
	changed chan struct{}     // closed at the next change
	calls   Calls
	timers  []*time.Timer
}

// New returns a platform without values and instances.
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

// Close ends the service.
func (s *Server) Close() {
	s.mu.Lock()
	for _, timer := range s.timers {
		timer.Stop()
	}
	s.mu.Unlock()
	s.Server.Close()
}

// Publish makes the files the new revision, as a whole, and returns it.
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

func checkFile(file File) error {
	if file.Key == "" || file.Key == ManifestKey {
		return errors.Errorf("key %q can't be used", file.Key)
	}
	if len(file.Data) > MaxValueBytes {
		return errors.Errorf("value %s has %d bytes, more than %d", file.Key, len(file.Data), MaxValueBytes)
	}
	return nil
}

// SetInstances changes the instance list, which shows it after the lag.
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

// SetMode changes how the service behaves.
func (s *Server) SetMode(mode Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.setLatest(s.latest)
}

// Rewind makes the service stale and serve an older revision, as a replica
// that fell back would.
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

// setLatest takes a new snapshot and wakes the watches. The caller holds mu.
func (s *Server) setLatest(next *snapshot) {
	s.latest = next
	if s.mode != Stale {
		s.served = next
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the counted calls.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Revision returns the latest published revision.
func (s *Server) Revision() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest.revision
}
