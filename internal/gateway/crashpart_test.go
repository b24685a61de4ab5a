package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"basilrudder/internal/crashes"
	"basilrudder/internal/monotime"
	"basilrudder/internal/peer"
	"basilrudder/internal/schema/wire"
)

// crashPartCase is a way in which requests with a part that crashes servers come.
type crashPartCase struct {
	name string
	look crashLook
	// parts returns the parts of the n-th request that crashes servers, and key its caller;
	// nil for key-a.
	parts func(n int) []string
	key   func(n int) string
	// culprits are the parts that crash servers.
	culprits []string
}

func own(n int) string { return fmt.Sprint("own-", n) }

var crashPartCases = []crashPartCase{
	{name: "in the middle", look: refusingLook, parts: func(n int) []string { return []string{"shared", "bad", own(n)} }, culprits: []string{"bad"}},
	{name: "first", look: refusingLook, parts: func(n int) []string { return []string{"bad", own(n)} }, culprits: []string{"bad"}},
	{name: "back at once", look: crashLook{}, parts: func(n int) []string { return []string{"shared", "bad", own(n)} }, culprits: []string{"bad"}},
	{name: "port kept", look: crashLook{kept: true, down: serverDownTime}, parts: func(n int) []string { return []string{"shared", "bad", own(n)} }, culprits: []string{"bad"}},
	{name: "no marked end", look: crashLook{unmarked: true, down: serverDownTime}, parts: func(n int) []string { return []string{"shared", "bad", own(n)} }, culprits: []string{"bad"}},
	{name: "brittle servers", look: crashLook{refusals: "8", down: serverDownTime}, parts: func(n int) []string { return []string{"shared", "bad", own(n)} }, culprits: []string{"bad"}},
	{name: "several callers", look: refusingLook, parts: func(n int) []string { return []string{"shared", "bad", own(n)} },
		key: func(n int) string { return []string{"key-a", "key-b"}[n%2] }, culprits: []string{"bad"}},
	{name: "another caller later", look: refusingLook, parts: func(n int) []string { return []string{"shared", "bad", own(n)} },
		key: func(n int) string { return []string{"key-a", "key-b"}[min(1, n/40)] }, culprits: []string{"bad"}},
	{name: "other parts beside it", look: refusingLook, parts: func(n int) []string { return []string{fmt.Sprint("beside-", n%7), "bad", "after", own(n)} }, culprits: []string{"bad"}},
	{name: "two at once", look: refusingLook, parts: func(n int) []string { return []string{"shared", fmt.Sprint("bad-", n%2), own(n)} }, culprits: []string{"bad-0", "bad-1"}},
}

// Guards against requests, no two alike, that go on crashing servers by a part they share.
func TestPartsThatCrashServersAreNotSentOn(t *testing.T) {
	for _, c := range crashPartCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playCrashingPart(t, &c, 3, 12) })
		})
	}
}

// Guards against instances of a large fleet that learn of a culprit part too late.
func TestPartsThatCrashServersInFleetsOfAnySize(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playCrashingPart(t, &crashPartCases[0], size, 24) })
		})
	}
}

// Guards against reports of crashes that use up what instances may send.
func TestReportsOfCrashesAreSmall(t *testing.T) {
	const (
		requests, parts = 9, 3 // that had just begun on a server
		perSecond       = 1    // ends of servers
		maxPerSecond    = 6 << 10
	)
	now := monotime.Instant(time.Hour)
	var update wire.RelayNews
	for n := range requests {
		c := crashes.Crash{Request: crashes.Fingerprint{byte(n)}, Customer: "customer-1", Server: "i-0123456789", At: now}
		for part := range parts {
			c.Parts = append(c.Parts, crashes.PartFingerprint(fmt.Sprint(part)))
		}
		update.Crashes = append(update.Crashes, encodeCrash(c, now.Add(20*time.Millisecond)))
	}
	frame, err := peer.Encode(&wire.Envelope{News: []wire.RelayNews{update}})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes for the end of a server under %d requests", len(frame), requests)
	if len(frame)*perSecond > maxPerSecond {
		t.Errorf("%d bytes a second, at most %d wanted", len(frame)*perSecond, maxPerSecond)
	}
}

// soundTally counts sound requests before the first crash and after the last one matters.
type soundTally struct {
	mu           sync.Mutex
	asked, begun [2]int
}

func playCrashingPart(t *testing.T, c *crashPartCase, instances, size int) {
	const (
		calm, bad = 5 * time.Second, 20 * time.Second
		contact   = 3 * time.Second
		badEvery  = 160 * time.Millisecond
		maxLate   = 3
	)
	ctx, cancel := context.WithCancel(t.Context())
	var tasks errgroup.Group
	site := newCrashCluster(t, ctx, &tasks, instances, size, c.look)
	path := "/once/x"
	if c.look.unmarked {
		path = "/stream/x"
	}
	begun := time.Now()
	tasks.Go(func() error {
		time.Sleep(calm)
		for n := 0; time.Since(begun) < calm+bad; n++ {
			key := "key-a"
			if c.key != nil {
				key = c.key(n)
			}
			tasks.Go(func() error {
				site.request(n%instances, path, key, fmt.Sprint("poison ", n), c.parts(n)...)
				return nil
			})
			time.Sleep(badEvery)
		}
		return nil
	})
	var sound soundTally
	var all sync.WaitGroup
	for n := 0; time.Since(begun) < calm+bad; n++ {
		phase := -1
		switch since := time.Since(begun); {
		case since < calm:
			phase = 0
		case since > calm+2*contact:
			phase = 1
		}
		all.Go(func() {
			status := site.request(n%instances, path, []string{"key-a", "key-b"}[n%2], fmt.Sprint("note ", n), "shared", fmt.Sprint("middle-", n%5), own(-n))
			sound.count(phase, status == http.StatusOK)
		})
		time.Sleep(time.Second / 60)
	}
	all.Wait()
	for _, culprit := range c.culprits {
		late, arrived := site.lateArrivals(culprit, 5, contact)
		t.Logf("%s: %d arrivals, %d ends, %d late", culprit, arrived, len(site.crashes[culprit]), late)
		if late > maxLate {
			t.Errorf("%s: %d arrivals later than %v after the fifth end, at most %d wanted", culprit, late, contact, maxLate)
		}
	}
	t.Logf("sound requests begun before: %d of %d, after: %d of %d", sound.begun[0], sound.asked[0], sound.begun[1], sound.asked[1])
	if 2*sound.begun[1]*sound.asked[0] < sound.begun[0]*sound.asked[1] {
		t.Error("sound requests begin less than half as often as before")
	}
	site.stop(cancel, &tasks)
}

func (s *soundTally) count(phase int, begun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if phase < 0 {
		return
	}
	s.asked[phase]++
	if begun {
		s.begun[phase]++
	}
}
