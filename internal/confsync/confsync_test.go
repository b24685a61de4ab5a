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

// values returns three values, of which one names the revision.
func values(revision int) map[string]string {
	return map[string]string{
		"rules":     fmt.Sprintf("revision = %d", revision),
		"servers":   strings.Repeat("s", 100_000),
		"customers": strings.Repeat("k", 300_000),
	}
}

// newSettledFleet is a fleet at revision 5.
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
	// Each reader reads the manifest and the one value that changed, then
	// watches on.
	if spent := net.platform.calls - calls; readers != 6 || spent > 3*readers {
		t.Errorf("%d readers made %d calls", readers, spent)
	}
}

func TestStalePlatformDoesNotLowerRevision(t *testing.T) {
	// The platform's replica that answers falls back to revision 4, to the
	// readers and to a process that starts then. Callers see servers that were
	// withdrawn in revision 5 get work again if anybody believes it. The highest
	// revision known to a neighbour is newer by definition, so it stays.
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
		t.Error("nobody reported the stale answer")
	}
	net.platform.publish(6, values(6))
	net.Run(20 * time.Second)
	net.wantRevision(6)
}

func TestNewInstancesFetchFromLastPeerWhilePlatformDown(t *testing.T) {
	// The platform dies, then every instance but one is replaced. The new ones
	// have nothing on disk and nobody to read from but that one neighbour: they
	// must come up with its revision and not wait for the platform.
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
	// An instance sleeps for a minute; revision 6 withdraws a server meanwhile.
	// Its socket buffers hold answers from before the change, which all say that
	// 5 is the latest. Were they believed, it would send its queue to the
	// withdrawn server. Only the answer to a question asked after waking counts.
	net := newSettledFleet(t, 8, 2)
	n := net.nodes[net.ids[2]]
	for before := n.core.gossip.lastQuery; n.core.gossip.lastQuery == before; {
		net.Run(peerDelay / 2)
	}
	n.pause()
	net.Run(time.Minute)
	if len(n.queue) == 0 {
		t.Fatal("no answer lay in the buffers")
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
		t.Errorf("after the links came back: revision %d confirmed %v ago", revision, age)
	}
}

func TestAWatchFromBeforeThePauseConfirmsNothing(t *testing.T) {
	// A machine is suspended, and its clock with it. The answer to a watch from
	// before lies in the buffer of a reader and looks as young as ever. Were it
	// believed, the reader would dispatch by a revision that is long out of date.
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
	// The whole fleet stops at once, as when its machines are suspended, and the
	// platform is down when it wakes. Nobody stayed awake to confirm anything; if
	// each waited for one who did, the fleet would refuse work for ever.
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
	// The network splits and only one part reaches the platform. That part goes
	// to revision 6 while the other keeps 5. After the heal all are at 6 within
	// seconds and nobody has gone back.
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
		t.Errorf("the platform's last word is %v old without the platform", age)
	}
	net.cut = func(a, b string) bool { return false }
	net.updateLinks()
	net.Run(3 * time.Second)
	net.wantRevision(6)
}

func TestConfirmationAgeGrowsWhileIsolated(t *testing.T) {
	// One instance reaches neither a neighbour nor the platform. It keeps its
	// revision, and its age grows so that the node can stop serving in time.
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
		t.Errorf("%d watches against a platform out of reach", watches)
	}
}

func TestACorruptedPieceIsFetchedElsewhere(t *testing.T) {
	// A neighbour with bad memory sends a wrong byte in every piece. The value
	// fails its hash and comes from somebody else; nothing wrong takes effect.
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
		t.Error("no corrupted value was met")
	}
}

func TestABadRevisionIsRefusedWholeAndOnce(t *testing.T) {
	// Operators publish revision 6 with a fault. It takes effect nowhere, each
	// reader says so once, the last good one stays confirmed, and nobody fetches
	// it again and again. The mended 7 goes through.
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
	// A neighbour starts to send a large value and its machine dies. What came
	// so far is kept, and the rest comes from another from that offset on.
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
	// Two sites publish different values under number 6, each to its half of the
	// fleet. Were either half to follow the other, both might swap for ever. Each
	// keeps what it has, says so, and 7 ends it.
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
		t.Error("nobody noticed the conflict")
	}
	net.platform.publish(7, values(7))
	net.Run(20 * time.Second)
	net.wantRevision(7)
}

func TestMissingValueIsRetriedWithBackoff(t *testing.T) {
	// The manifest is published before one of its values. Readers cannot
	// complete it; they back off, and the fleet goes on with what it has.
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
	// As above, but the value follows the manifest after a second. The change
	// must still be in force everywhere within three seconds.
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
	// During an upgrade one instance still runs the older program, which does not
	// know a key of revision 6. It keeps 5, fetches 6 once, and is confirmed by
	// neighbours that have 6: it knows of nothing newer that it could use.
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
	// The neighbour that is asked for a revision has gone on to the next and
	// says so. Waiting for its pieces until the timeout would cost a second on
	// each hop; the other neighbour is asked in the same instant.
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
	// Links look up but nothing comes through them any more. A learner that went
	// on waiting would miss every change; it asks the platform itself.
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
	// A confused neighbour offers revision 900 and never sends it. The fetch
	// ends, and the true revision 6 still comes through.
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
