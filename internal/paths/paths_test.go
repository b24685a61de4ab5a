package paths

import (
	"fmt"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

const start = monotime.Instant(time.Hour)

func servers(n int) func() int { return func() int { return n } }

func at(d time.Duration) monotime.Instant { return start.Add(d) }

// Guards against one failed server that sends all connections through peers.
func TestOneFailedServerIsNotALostService(t *testing.T) {
	table := NewTable()
	if table.Failed("svc", "a", 5, at(0)) || table.Lost("svc") {
		t.Error("lost after one failure")
	}
	if table.Direct("svc", "a", at(0)) || !table.Direct("svc", "b", at(0)) {
		t.Error("only the failed server should be connected to through peers")
	}
	table.Reached("svc", "b", servers(5), at(time.Second))
	if table.Failed("svc", "a", 5, at(2*time.Second)) || table.Lost("svc") {
		t.Error("lost although another server was reached in between")
	}
	if !table.Direct("svc", "a", at(2*time.Second+failureTTL+1)) {
		t.Error("the server is never tried directly again")
	}
}

// Guards against a service that is lost or back because of a single server.
func TestAServiceIsLostAndBackAfterTwoServers(t *testing.T) {
	table := NewTable()
	table.Failed("svc", "a", 5, at(0))
	if !table.Failed("svc", "b", 5, at(time.Second)) || !table.Lost("svc") {
		t.Fatal("not lost after two servers")
	}
	if table.Direct("svc", "c", at(time.Second)) || !table.Direct("other", "c", at(time.Second)) {
		t.Error("all servers of this service, and none of others, should be lost")
	}
	if table.Reached("svc", "c", servers(5), at(2*time.Second)) || table.Direct("svc", "d", at(2*time.Second)) {
		t.Error("back after one server")
	}
	if !table.Direct("svc", "c", at(2*time.Second)) {
		t.Error("a server that was reached should be connected to directly")
	}
	if !table.Reached("svc", "d", servers(5), at(3*time.Second)) || table.Lost("svc") || !table.Direct("svc", "e", at(3*time.Second)) {
		t.Error("not back after two servers")
	}
}

func TestAServiceOfOneServerIsLostWithIt(t *testing.T) {
	table := NewTable()
	if !table.Failed("svc", "a", 1, at(0)) {
		t.Error("not lost")
	}
	if !table.Reached("svc", "a", servers(1), at(time.Second)) || len(table.Suspects(at(time.Second))) > 0 {
		t.Error("not back, or state is left")
	}
}

// Guards against requests that find out one by one that the kept connections are dead.
func TestKeptConnectionsNeedAnAnswerSinceThePathWasLost(t *testing.T) {
	table := NewTable()
	table.Failed("svc", "a", 5, at(time.Second))
	if table.Usable("svc", "a", at(0)) || !table.Usable("svc", "b", at(0)) {
		t.Error("one failed server: only its connections are in doubt")
	}
	table.Failed("svc", "b", 5, at(2*time.Second))
	if table.Usable("svc", "c", at(0)) {
		t.Error("a connection that was not used since is taken as working")
	}
	if !table.Usable("svc", "c", at(1500*time.Millisecond)) {
		t.Error("a connection that goes on working is dropped")
	}
}

// Guards against peers that are asked again and again while the servers are down for all.
func TestPeersAreLeftAloneWhileNobodyReachesTheServers(t *testing.T) {
	table := NewTable()
	table.Failed("svc", "a", 5, at(0))
	table.Failed("svc", "b", 5, at(0))
	now, asked := at(0), 0
	for ; now < at(10*time.Second); now = now.Add(10 * time.Millisecond) {
		if table.MayAskPeers("svc", now) {
			asked++
			table.PeerFailed("svc", now)
		} else if !table.Direct("svc", "c", now) {
			t.Fatal("neither peers nor a direct connection")
		}
	}
	if most := maxPeerFailures + 2 + int(10*time.Second/holdMax); asked > most {
		t.Errorf("asked %d times in 10 s, at most %d wanted", asked, most)
	}
	table.PeerReached("svc")
	if !table.MayAskPeers("svc", now) || table.Direct("svc", "c", now) {
		t.Error("peers that reach the servers again are not asked")
	}
}

// Guards against a crash of one server that moves its service's connections to peers.
func TestPeersAreAskedForLostServicesOnly(t *testing.T) {
	table := NewTable()
	if table.MayAskPeers("svc", at(0)) {
		t.Error("peers are asked before any failure")
	}
	table.Failed("svc", "a", 5, at(0))
	if table.MayAskPeers("svc", at(0)) {
		t.Error("peers are asked after the failure of one server")
	}
	table.Failed("svc", "b", 5, at(0))
	if !table.MayAskPeers("svc", at(0)) || table.MayAskPeers("other", at(0)) {
		t.Error("peers must be asked for the lost service, and for no other")
	}
}

func candidates(n int) (out []Peer) {
	for i := range n {
		out = append(out, Peer{ID: fmt.Sprint("p", i), Capacity: 400, Local: i%2 == 0})
	}
	return out
}

// Guards against few peers that carry the load of half a large fleet.
func TestPeersThatHelpAreFoundAndShareTheLoad(t *testing.T) {
	const size, connections = 585, 400
	load := make(map[string]int)
	asked := 0
	for range 60 { // instances that are cut off
		p := NewPicker()
		for n := range connections / 10 {
			excluded := make(map[string]bool)
			for {
				now := at(time.Duration(n) * 100 * time.Millisecond)
				peer, ok := p.Pick(candidates(size), "svc", excluded, now)
				if !ok {
					t.Fatal("no peer left")
				}
				asked++
				excluded[peer.ID] = true
				var number int
				_, _ = fmt.Sscanf(peer.ID, "p%d", &number)
				if number < size/2 {
					p.Avoid(peer.ID, "svc", now.Add(AvoidCutOff), now)
					continue
				}
				p.Opened(peer.ID)
				load[peer.ID]++
				break
			}
		}
	}
	opened, most := 60*connections/10, 0
	for _, n := range load {
		most = max(most, n)
	}
	t.Logf("%d peers asked for %d connections, at most %d through one", asked, opened, most)
	if asked > 2*opened {
		t.Errorf("%d peers asked for %d connections", asked, opened)
	}
	if mean := opened / (size / 2); most > 8*max(1, mean) {
		t.Errorf("a peer carries %d connections, the mean is %d", most, mean)
	}
}

// Guards against a peer that is full, leaving or cut off and is asked at once again.
func TestAvoidedPeersAreNotPicked(t *testing.T) {
	p := NewPicker()
	one := candidates(1)
	p.Avoid("p0", "svc", at(time.Second), at(0))
	if _, ok := p.Pick(one, "svc", nil, at(0)); ok {
		t.Error("picked for the service")
	}
	if _, ok := p.Pick(one, "other", nil, at(0)); !ok {
		t.Error("not picked for another service")
	}
	p.Avoid("p0", "", at(time.Second), at(0))
	if _, ok := p.Pick(one, "other", nil, at(0)); ok {
		t.Error("picked for any service")
	}
	if _, ok := p.Pick(one, "svc", nil, at(time.Second)); !ok {
		t.Error("not picked later")
	}
}
