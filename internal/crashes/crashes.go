// Package crashes identifies content that crashes the servers that run it, from the ends
// of servers that all instances have seen. It does no I/O.
//
// Content is a whole request, or a part of a prompt that requests share. Either is
// identified by a fingerprint, not by an id: callers send a request again under a new one.
// It is refused once enough servers have ended soon after they began to answer requests
// that carry it, none has survived one, and no other content explains these ends.
package crashes

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// exonerationTTL is how long after a run without a crash an end counts for less. If it
	// never expired, content that was harmless once would hardly be suspected again.
	exonerationTTL = time.Minute
	// Retention is how long absent content is tracked. Older crashes are ignored.
	Retention = 10 * time.Minute
	// MaxPerCustomer bounds the tracked contents of one customer, and maxSuspects those of
	// all, so that neither one customer nor made-up requests displace the others.
	MaxPerCustomer = 256
	maxSuspects    = 4096
	// maxFallen bounds the servers whose ends are known to have another cause, to those that
	// ended last.
	maxFallen = 4096
	// maxEnds bounds the ends recorded of one content, the earliest, and maxRuns the
	// requests recorded of one end.
	maxEnds, maxRuns = 16, 16
)

// Fingerprint identifies content.
type Fingerprint [16]byte

// partDomain separates the fingerprints of parts from those of requests.
const partDomain = "part\x00"

// PartFingerprint returns the fingerprint of a part of a prompt with an id.
func PartFingerprint(id string) (out Fingerprint) {
	hash := sha256.Sum256([]byte(partDomain + id))
	copy(out[:], hash[:])
	return out
}

// String returns the start of the fingerprint in hexadecimal, for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:6]) }

// Content is what a request carries that may crash servers.
type Content struct {
	// Request is the fingerprint of the whole request.
	Request Fingerprint
	// Parts are those of the parts of its prompt that other requests may share.
	Parts []Fingerprint
	// Customer of the request; empty for none.
	Customer string
}

// Crash is the end of a server soon after it began to run a request, as seen by one
// instance.
type Crash struct {
	// Request, Parts and Customer are those of the request, see Content.
	Request  Fingerprint
	Parts    []Fingerprint
	Customer string
	// Server is the id of the incarnation that ended.
	Server string
	// At is when it ended.
	At monotime.Instant
	// From is the instance that reported the crash.
	From string
	// Pool is the servers among which the one that ended was chosen, as known here.
	Pool Pool
}

// Content returns what the request carried.
func (c *Crash) Content() Content {
	return Content{Request: c.Request, Parts: c.Parts, Customer: c.Customer}
}

// suspect is one tracked content.
type suspect struct {
	// whole is true for a request and false for a part of prompts.
	whole bool
	// customer of the first request that was recorded with it.
	customer string
	// services are those of the servers that ended.
	services map[string]bool
	// ends are those since it last ran without a crash, by server.
	ends map[string]*serverEnd
	// survivedAt is when the answer to its last run without a crash began; 0 for never.
	survivedAt monotime.Instant
	// seenAt is when it last arrived or crashed a server, and triedAt when this instance
	// last sent it on, with the request triedBy, to find out whether it still crashes
	// servers.
	seenAt, triedAt monotime.Instant
	triedBy         string
}

func newSuspect(customer string) *suspect {
	return &suspect{customer: customer, services: make(map[string]bool), ends: make(map[string]*serverEnd)}
}

// serverEnd is the end of a server under requests with some content.
type serverEnd struct {
	at monotime.Instant
	// runs are the requests that carried the content.
	runs []run
	// from is the instance that reported the end first, as far as known here.
	from string
}

type run struct {
	request  Fingerprint
	customer string
}

// Tracker holds the suspected contents of one instance. It is not safe for concurrent
// use.
type Tracker struct {
	suspects    map[Fingerprint]*suspect
	perCustomer map[string]int // suspects by customer
	// fallen are the servers whose ends have another cause, and when they ended.
	fallen map[string]monotime.Instant
	// ended are the servers whose ends may have been caused by requests, by time, and
	// endedPools the same by id.
	ended      []ended
	endedPools map[string]Pool
	// exposure is for how long a run is blamed if its server ends, on average.
	exposure time.Duration
	// culprits are the contents to refuse, as of culpritsAt, unless changed is set.
	culprits   []Culprit
	culpritsAt monotime.Instant
	changed    bool
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{
		suspects: make(map[Fingerprint]*suspect), perCustomer: make(map[string]int),
		fallen: make(map[string]monotime.Instant), endedPools: make(map[string]Pool), exposure: defaultExposure,
	}
}

// Len returns the number of tracked contents.
func (t *Tracker) Len() int { return len(t.suspects) }

// Add records a crash. It reports whether the crash is new, and whether the request is to
// be refused now.
func (t *Tracker) Add(c Crash, now monotime.Instant) (isNew, refused bool) {
	if _, fell := t.fallen[c.Server]; fell || now.Sub(c.At) > Retention {
		return false, false
	}
	t.recordEnd(&c)
	isNew = t.addEnd(c.Request, true, &c)
	for _, part := range c.Parts {
		isNew = t.addEnd(part, false, &c) || isNew
	}
	if !isNew {
		return false, false
	}
	t.changed = true
	if !slices.ContainsFunc(append(c.Parts[:len(c.Parts):len(c.Parts)], c.Request), func(f Fingerprint) bool { return t.EndCount(f) >= minEnds }) {
		return true, false
	}
	_, refused = t.Refuses(c.Content(), now, nil)
	return true, refused
}

// addEnd records the end of a server under one content. It reports whether that is new.
func (t *Tracker) addEnd(f Fingerprint, whole bool, c *Crash) bool {
	s := t.suspects[f]
	if s == nil {
		s = newSuspect(c.Customer)
		t.suspects[f] = s
		t.perCustomer[c.Customer]++
		defer t.evict(f)
	}
	s.whole = whole
	if s.survivedAt != 0 && c.At <= s.survivedAt {
		return false
	}
	s.seenAt = max(s.seenAt, c.At)
	s.services[t.endedPools[c.Server].Service] = true
	e := s.ends[c.Server]
	if e != nil {
		return e.addRun(c)
	}
	s.ends[c.Server] = &serverEnd{at: c.At, runs: []run{{c.Request, c.Customer}}, from: c.From}
	if len(s.ends) > maxEnds {
		last := s.lastEnd()
		delete(s.ends, last)
		return last != c.Server
	}
	return true
}

// addRun adds a request to an end. It keeps those with the smallest fingerprints, so that all
// instances keep the same ones.
func (e *serverEnd) addRun(c *Crash) bool {
	i, found := slices.BinarySearchFunc(e.runs, c.Request, func(r run, f Fingerprint) int { return bytes.Compare(r.request[:], f[:]) })
	if found || i >= maxRuns {
		return false
	}
	e.runs = slices.Insert(e.runs, i, run{c.Request, c.Customer})
	e.runs = e.runs[:min(len(e.runs), maxRuns)]
	return true
}

// lastEnd returns the server that ended last.
func (s *suspect) lastEnd() (server string) {
	for id, e := range s.ends {
		if last := s.ends[server]; last == nil || e.at > last.at || e.at == last.at && id > server {
			server = id
		}
	}
	return server
}

// Fell records that the end of a server has another cause than a request. It reports
// whether that is new.
func (t *Tracker) Fell(server string, endedAt monotime.Instant) bool {
	if _, known := t.fallen[server]; known {
		return false
	}
	t.fallen[server] = endedAt
	t.dropFallen()
	t.forgetEnds(func(e *ended) bool { return e.server == server })
	t.changed = true
	for f, s := range t.suspects {
		if _, ok := s.ends[server]; !ok {
			continue
		}
		delete(s.ends, server)
		if len(s.ends) == 0 && s.survivedAt == 0 {
			t.remove(f)
		}
	}
	_, isNew := t.fallen[server]
	return isNew
}

// dropFallen forgets the server that ended first if too many have another cause.
func (t *Tracker) dropFallen() {
	if len(t.fallen) <= maxFallen {
		return
	}
	first := ""
	for server, endedAt := range t.fallen {
		if at := t.fallen[first]; first == "" || endedAt < at || endedAt == at && server < first {
			first = server
		}
	}
	delete(t.fallen, first)
}

// Ran records that a server went on after it had begun to answer a request with some
// content at an instant, unless the content is not tracked. It reports whether this should
// be sent to peers: it clears ends, or the last such run is none or more than half of
// exonerationTTL before.
func (t *Tracker) Ran(f Fingerprint, begunAt monotime.Instant) bool {
	return t.suspects[f] != nil && t.Survived(f, begunAt)
}

// Survived is Ran for content that a peer tracks: the crash that it refers to may be
// received later.
func (t *Tracker) Survived(f Fingerprint, begunAt monotime.Instant) bool {
	s := t.suspects[f]
	if s == nil {
		s = newSuspect("")
		s.seenAt = begunAt
		t.suspects[f] = s
		t.perCustomer[s.customer]++
		defer t.evict(f)
	}
	if begunAt <= s.survivedAt {
		return false
	}
	isNew := s.survivedAt == 0 || begunAt.Sub(s.survivedAt) > exonerationTTL/2
	s.survivedAt = begunAt
	t.changed = true
	for server, e := range s.ends {
		if e.at <= begunAt {
			delete(s.ends, server)
			isNew = true
		}
	}
	return isNew
}

// EndCount returns the number of ends recorded for some content.
func (t *Tracker) EndCount(f Fingerprint) int {
	if s := t.suspects[f]; s != nil {
		return len(s.ends)
	}
	return 0
}
