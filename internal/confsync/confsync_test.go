package confsync

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/schema/wire"
)

// values returns three values, one of which contains the revision.
func values(revision int) map[string]string {
	return map[string]string{
		"rules":     fmt.Sprintf("revision = %d", revision),
		"servers":   strings.Repeat("s", 100_000),
		"customers": strings.Repeat("k", 300_000),
	}
}

// newSettledFleet returns a fleet with revision 5 in force everywhere.
func newSettledFleet(t *testing.T, n, dcs int) *network {
	net := newNetwork(t)
	net.ring(n, dcs, 4)
	net.platform.publish(5, values(5))
	net.updateLinks()
	net.Run(5 * time.Second)
	net.wantRevision(5)
	return net
}

func TestAChangeReachesAllThroughFewReaders(t *testing.T) {
	net := newSettledFleet(t, 24, 3)
	calls := net.platform.calls
	net.platform.publish(6, values(6))
	net.Run(time.Second)
	net.wantRevision(6)
	readers := 0
	for _, n := range net.nodes {
		if n.core.Reader() {
			readers++
		}
		if got := n.core.Stats().BytesFromPeers; got > 2_000_000 {
			t.Errorf("%s fetched %d bytes", n.id, got)
		}
	}
	// Each reader reads the manifest and the one value that changed, then watches again.
	if spent := net.platform.calls - calls; readers != 6 || spent > 3*readers {
		t.Errorf("%d readers made %d calls", readers, spent)
	}
}

func TestStalePlatformDoesNotLowerRevision(t *testing.T) {
	// A replica of the platform falls back to revision 4 and answers readers and resuming
	// processes. If 4 took effect, servers that revision 5 withdrew would get work again.
	// The higher revision of a neighbour is newer by definition and must stay.
	net := newSettledFleet(t, 8, 2)
	net.platform.publish(4, values(4))
	for _, n := range net.nodes {
		n.pause()
	}
	net.Run(5 * time.Second)
	for _, n := range net.nodes {
		n.resume()
	}
	net.Run(20 * time.Second)
	net.wantRevision(5)
	stale := 0
	for _, n := range net.nodes {
		stale += n.reported(EventStale)
	}
	if stale == 0 {
		t.Error("no instance reported the stale answer")
	}
	net.platform.publish(6, values(6))
	net.Run(20 * time.Second)
	net.wantRevision(6)
}

func TestNewInstancesFetchFromLastPeerWhilePlatformDown(t *testing.T) {
	// The platform fails, then every instance but one is replaced. The new ones have no
	// stored state and a single source: they must start with that neighbour's revision
	// instead of waiting for the platform.
	net := newSettledFleet(t, 8, 2)
	net.platform.down = true
	survivor := net.ids[3]
	for _, id := range net.ids {
		if id != survivor {
			old := net.nodes[id]
			old.gone = true
			net.start(id, old.dc, old.neighbours)
		}
	}
	net.updateLinks()
	net.Run(3 * time.Second)
	net.wantRevision(5)
	for _, id := range net.ids {
		if _, age := net.nodes[id].core.Confirmed(net.Now()); age > 2*DefaultQueryInterval {
			t.Errorf("%s: confirmed %v ago", id, age)
		}
	}
	net.platform.down = false
	net.platform.publish(6, values(6))
	net.Run(backoffMax + 3*time.Second)
	net.wantRevision(6)
}

func TestBufferedAnswersDoNotConfirmAfterPause(t *testing.T) {
	// An instance is paused for a minute while revision 6 withdraws a server. Its socket
	// buffers hold answers from before the change, all with revision 5 as the latest. If
	// they counted, it would dispatch its queue to the withdrawn server. Only answers to
	// queries sent after the pause confirm.
	net := newSettledFleet(t, 8, 2)
	n := net.nodes[net.ids[2]]
	for before := n.core.gossip.lastQuery; n.core.gossip.lastQuery == before; {
		net.Run(peerDelay / 2)
	}
	n.pause()
	net.Run(time.Minute)
	if len(n.queue) == 0 {
		t.Fatal("no answer was buffered")
	}
	net.cut = func(a, b string) bool { return a == n.id || b == n.id }
	net.platform.publish(6, values(6))
	n.offline = true
	net.Run(time.Second)
	n.resume()
	net.Run(time.Second)
	if revision, age := n.core.Confirmed(net.Now()); revision != 5 || age != NeverConfirmed {
		t.Errorf("revision %d confirmed %v ago", revision, age)
	}
	net.cut = func(a, b string) bool { return false }
	net.Run(2 * resumeQueryInterval)
	if revision, age := n.core.Confirmed(net.Now()); revision != 6 || age > time.Second {
		t.Errorf("after the links recovered: revision %d confirmed %v ago", revision, age)
	}
}

func TestAWatchFromBeforeThePauseConfirmsNothing(t *testing.T) {
	// A machine is suspended together with its clock. A watch answer from before is in a
	// reader's buffer and appears recent. If it confirmed the revision, the reader would
	// dispatch by one that is long out of date.
	net := newSettledFleet(t, 4, 1)
	for _, id := range net.ids {
		n := net.nodes[id]
		if !n.core.Reader() {
			continue
		}
		open := maps.Clone(n.core.platform.pending)
		if len(open) != 1 {
			t.Fatalf("%s: %d open calls, want one watch", id, len(open))
		}
		n.core.OnPaused(net.Now(), time.Hour, n)
		for number := range open {
			n.core.OnWatch(net.Now(), number, nil, nil, n)
		}
		if _, age := n.core.Confirmed(net.Now()); age != NeverConfirmed {
			t.Errorf("%s: confirmed %v ago", id, age)
		}
	}
}

func TestFleetResumesTogetherWithPlatformDown(t *testing.T) {
	// The whole fleet is paused at once, for example by suspended machines, and the
	// platform is down when it resumes. No instance stayed running to confirm anything.
	// If each waited for one that did, the fleet would refuse work forever.
	net := newSettledFleet(t, 8, 2)
	net.platform.down = true
	for _, n := range net.nodes {
		n.pause()
	}
	net.Run(time.Minute)
	for _, n := range net.nodes {
		n.resume()
	}
	net.Run(resumeTrustDelay / 2)
	for _, n := range net.nodes {
		if _, age := n.core.Confirmed(net.Now()); age != NeverConfirmed {
			t.Errorf("%s: confirmed %v ago, too early", n.id, age)
		}
	}
	net.Run(resumeTrustDelay + time.Second)
	for _, n := range net.nodes {
		if _, age := n.core.Confirmed(net.Now()); age > 2*time.Second {
			t.Errorf("%s: confirmed %v ago", n.id, age)
		}
	}
}

func TestHealOfAPartitionBringsTheHigherRevision(t *testing.T) {
	// The network splits and only one part reaches the platform. That part goes to
	// revision 6, the other keeps 5. After the partition heals, all must be at 6 within
	// seconds, and no instance may have gone back.
	net := newSettledFleet(t, 12, 2)
	left := func(id string) bool { return id < net.ids[6] }
	net.cut = func(a, b string) bool { return left(a) != left(b) }
	for _, n := range net.nodes {
		n.offline = left(n.id)
	}
	net.updateLinks()
	net.platform.publish(6, values(6))
	net.Run(30 * time.Second)
	for _, n := range net.nodes {
		want := uint64(6)
		if left(n.id) {
			want = 5
		}
		if n.core.Revision() != want {
			t.Errorf("%s is at %d, want %d", n.id, n.core.Revision(), want)
		}
		if _, age := n.core.Confirmed(net.Now()); age > 2*DefaultQueryInterval {
			t.Errorf("%s: confirmed %v ago inside its part", n.id, age)
		}
	}
	if age := net.nodes[net.ids[0]].core.PlatformAge(net.Now()); age < 20*time.Second {
		t.Errorf("last platform confirmation is only %v old without the platform", age)
	}
	net.cut = func(a, b string) bool { return false }
	net.updateLinks()
	net.Run(3 * time.Second)
	net.wantRevision(6)
}

func TestConfirmationAgeGrowsWhileIsolated(t *testing.T) {
	// One instance reaches neither a neighbour nor the platform. It keeps its revision,
	// and the age of the confirmation must grow so that the node can stop serving in
	// time.
	net := newSettledFleet(t, 4, 1)
	n := net.nodes[net.ids[1]]
	n.offline = true
	net.cut = func(a, b string) bool { return a == n.id || b == n.id }
	net.updateLinks()
	net.Run(5 * time.Minute)
	if revision, age := n.core.Confirmed(net.Now()); revision != 5 || age < 4*time.Minute {
		t.Errorf("revision %d confirmed %v ago", revision, age)
	}
	if watches := n.core.Stats().Watches; watches > 60 {
		t.Errorf("%d watches at an unreachable platform", watches)
	}
}

func TestACorruptedPieceIsFetchedElsewhere(t *testing.T) {
	// A neighbour with faulty memory sends a wrong byte in every piece. The value fails
	// its hash check and must come from another source; nothing wrong may take effect.
	net := newSettledFleet(t, 12, 1)
	bad := ""
	net.alterPiece = func(from, to string, part *wire.ConfigPart) {
		if bad == "" {
			bad = from
		}
		if from == bad && part.SHA256 != "" {
			part.Data[0] ^= 1
		}
	}
	net.platform.publish(6, values(6))
	net.Run(3 * time.Second)
	net.wantRevision(6)
	corrupted := uint64(0)
	for _, n := range net.nodes {
		corrupted += n.core.Stats().Corrupted
	}
	if corrupted == 0 {
		t.Error("no corrupted value was reported")
	}
}

func TestABadRevisionIsRefusedWholeAndOnce(t *testing.T) {
	// Revision 6 is published with a fault. It must not take effect anywhere, each reader
	// reports it once, the previous revision stays confirmed, and 6 is not fetched again.
	// The corrected revision 7 is installed.
	net := newSettledFleet(t, 12, 3)
	for _, n := range net.nodes {
		n.check = func(revision uint64) error {
			if revision == 6 {
				return errors.New("servers[3].slots")
			}
			return nil
		}
	}
	net.platform.publish(6, values(6))
	net.Run(5 * time.Second)
	reads := net.reads()
	net.Run(time.Minute)
	net.wantRevision(5)
	if again := net.reads() - reads; again != 0 {
		t.Errorf("%d reads of a refused revision", again)
	}
	for _, n := range net.nodes {
		want := 0
		if n.core.reader {
			want = 1
		}
		if got := n.reported(EventRefused); got != want {
			t.Errorf("%s reported %d refusals, want %d", n.id, got, want)
		}
		if _, age := n.core.Confirmed(net.Now()); age > DefaultWatchWait+time.Second {
			t.Errorf("%s: last good revision confirmed %v ago", n.id, age)
		}
	}
	net.platform.publish(7, values(7))
	net.Run(3 * time.Second)
	net.wantRevision(7)
}

func (net *network) reads() uint64 {
	sum := uint64(0)
	for _, n := range net.nodes {
		sum += n.core.Stats().Reads
	}
	return sum
}

func TestFetchContinuesAfterSourceDies(t *testing.T) {
	// A neighbour's machine fails while it sends a large value. The data received so far
	// is kept, and the rest comes from another source from that offset on.
	net := newSettledFleet(t, 6, 1)
	big := values(6)
	big["customers"] = strings.Repeat("q", 900_000)
	sender := ""
	net.alterPiece = func(from, to string, part *wire.ConfigPart) {
		if sender == "" && part.Offset > 200_000 {
			sender = from
			net.nodes[from].gone = true
		}
	}
	net.platform.publish(6, big)
	net.Run(5 * time.Second)
	if sender == "" {
		t.Fatal("no transfer was interrupted")
	}
	net.wantRevision(6)
}

func TestConflictingContentsOfOneRevisionAreReported(t *testing.T) {
	// Two sites publish different values under number 6, each to its half of the fleet.
	// If either half adopted the other's, both could swap forever. Each keeps what it has
	// and reports the conflict; revision 7 ends it.
	net := newSettledFleet(t, 8, 2)
	half := func(id string) bool { return id < net.ids[4] }
	net.cut = func(a, b string) bool { return half(a) != half(b) }
	net.updateLinks()
	for _, n := range net.nodes {
		n.offline = half(n.id)
	}
	net.platform.publish(6, values(6))
	net.Run(20 * time.Second)
	for _, n := range net.nodes {
		n.offline = !half(n.id)
	}
	other := values(6)
	other["rules"] = "other = true"
	net.platform.publish(6, other)
	net.Run(20 * time.Second)
	net.cut = func(a, b string) bool { return false }
	net.updateLinks()
	net.Run(10 * time.Second)
	net.wantRevision(6)
	conflicts := uint64(0)
	for _, n := range net.nodes {
		conflicts += n.core.Stats().Conflicts
		if len(n.installed) != 2 {
			t.Errorf("%s installed %v", n.id, n.installed)
		}
	}
	if conflicts == 0 {
		t.Error("no instance reported the conflict")
	}
	net.platform.publish(7, values(7))
	net.Run(20 * time.Second)
	net.wantRevision(7)
}

func TestMissingValueIsRetriedWithBackoff(t *testing.T) {
	// The manifest is published before one of its values. Readers cannot complete the
	// revision; they must back off, and the fleet keeps the previous one.
	net := newSettledFleet(t, 6, 1)
	net.platform.publish(6, values(6))
	good := net.platform.values["rules"]
	net.platform.values["rules"] = []byte("not yet")
	calls := net.platform.calls
	net.Run(time.Minute)
	net.wantRevision(5)
	if spent := net.platform.calls - calls; spent > 120 {
		t.Errorf("%d calls in a minute", spent)
	}
	net.platform.values["rules"] = good
	net.Run(backoffMax + 2*time.Second)
	net.wantRevision(6)
}

func TestCorrectedValueIsReadPromptly(t *testing.T) {
	// As in TestMissingValueIsRetriedWithBackoff, but the value follows the manifest
	// after a second. The change must still be in force everywhere within three seconds.
	net := newSettledFleet(t, 6, 1)
	net.platform.publish(6, values(6))
	good := net.platform.values["rules"]
	net.platform.values["rules"] = []byte("not yet")
	net.Run(time.Second)
	net.platform.values["rules"] = good
	net.Run(2 * time.Second)
	net.wantRevision(6)
}

func TestInstanceThatRefusesAloneStaysConfirmed(t *testing.T) {
	// During an upgrade one instance still runs an older program, which rejects an
	// unknown key in revision 6. It keeps 5, fetches 6 only once, and is confirmed by
	// neighbours that have 6, because there is nothing newer that it could use.
	net := newSettledFleet(t, 8, 2)
	old := net.nodes[net.ids[4]]
	if old.core.Reader() {
		t.Fatal("the instance is a reader")
	}
	old.check = func(uint64) error { return errors.New("unknown key") }
	net.platform.publish(6, values(6))
	net.Run(time.Second)
	fetched := old.core.Stats().BytesFromPeers
	net.Run(30 * time.Second)
	if again := old.core.Stats().BytesFromPeers - fetched; again != 0 || old.reported(EventRefused) != 1 {
		t.Errorf("%d bytes fetched again, %d refusals", again, old.reported(EventRefused))
	}
	if revision, age := old.core.Confirmed(net.Now()); revision != 5 || age > 2*DefaultQueryInterval {
		t.Errorf("revision %d confirmed %v ago", revision, age)
	}
}

func TestDeclinedRequestMovesToAnotherSource(t *testing.T) {
	// The neighbour that was asked for a revision has moved on to the next one and
	// answers with that. Waiting for the piece timeout would cost a second per hop; the
	// other neighbour must be asked immediately.
	net := newNetwork(t)
	net.ids = []string{"a"}
	n := net.start("a", "dc-0", []string{"b", "c"})
	n.core.SetMembers(net.Now(), []Member{{ID: "a", DataCentre: "dc-0"}}, n.neighbours, n)
	hash := strings.Repeat("a", 64)
	for _, from := range n.neighbours {
		n.core.OnOffer(net.Now(), from, wire.ConfigOffer{Revision: 6, ManifestSHA256: hash, Answers: 99}, n)
	}
	first := n.core.fetch.items[0].source
	n.core.OnOffer(net.Now(), first, wire.ConfigOffer{Revision: 4, ManifestSHA256: hash}, n)
	if it := n.core.fetch.items[0]; !it.active || it.source == first {
		t.Errorf("asks %q, active %v", it.source, it.active)
	}
}

func TestUnresponsiveNeighboursMakeExtraReader(t *testing.T) {
	// Links appear up but no messages arrive. A learner that kept waiting would miss
	// every change; it must read the platform itself.
	net := newSettledFleet(t, 8, 1)
	var learner *node
	for _, id := range net.ids {
		if n := net.nodes[id]; !n.core.Reader() {
			learner = n
		}
	}
	net.cut = func(a, b string) bool { return a == learner.id || b == learner.id }
	net.Run(DefaultPeerTimeout + time.Second)
	net.platform.publish(6, values(6))
	net.Run(3 * time.Second)
	net.wantRevision(6)
}

func TestOfferOfNonexistentRevisionDoesNotBlock(t *testing.T) {
	// A faulty neighbour offers revision 900 and never sends it. The fetch must end, and
	// the valid revision 6 must still be installed.
	net := newSettledFleet(t, 6, 1)
	n := net.nodes[net.ids[0]]
	bogus := wire.ConfigOffer{Revision: 900, ManifestSHA256: strings.Repeat("a", 64)}
	n.core.OnOffer(net.Now(), n.neighbours[0], bogus, n)
	net.platform.publish(6, values(6))
	net.Run(3 * time.Second)
	net.wantRevision(6)
}

func FuzzParseManifest(f *testing.F) {
	f.Add([]byte(`{"revision":1,"chunks":[{"key":"a","sha256":"` + strings.Repeat("0", 64) + `","bytes":1}]}`))
	f.Add([]byte(`{"revision":-1,"chunks":[{"key":"a"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		manifest, err := parseManifest(data)
		if err != nil {
			return
		}
		if manifest.Revision < 1 || len(manifest.Chunks) == 0 {
			t.Errorf("accepted %+v", manifest)
		}
	})
}
