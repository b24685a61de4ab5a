package daemon

import (
	"net"
	"testing"

	"basilrudder/internal/membership"
	"basilrudder/internal/node"
	"basilrudder/internal/reqid"
	"basilrudder/internal/verdict"
)

// A caller asks another instance for the answer of a request whose home is paused or on the
// other side of a partition. If the home were reported as gone, the caller would treat the
// answer as lost although the home recovers and finishes it. A process is gone only if it
// was replaced by a newer one, nothing listens at its address, or the fleet's view,
// confirmed since the start, does not contain it.
func TestHomeGoneOnlyAfterProcessExit(t *testing.T) {
	stopped, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer stopped.Close()
	member := func(id, incarnation string) membership.Member {
		return membership.Member{ID: id, Incarnation: incarnation, CallerAddress: stopped.Addr().String()}
	}
	ended := membership.Member{ID: "b", Incarnation: "1", CallerAddress: "127.0.0.1:1"}
	for _, test := range []struct {
		name string
		id   string
		view *membership.View
		want verdict.Reason
	}{
		{"no view yet", "b:1:zz:n", nil, verdict.ReasonHomeUnreachable},
		{"view not confirmed since the start", "b:1:zz:n", &membership.View{}, verdict.ReasonHomeUnreachable},
		{"alive", "b:1:zz:n", &membership.View{Confirmed: true, Live: []membership.Member{member("b", "1")}}, ""},
		{"leaving", "b:1:zz:n", &membership.View{Confirmed: true, Leaving: []membership.Member{member("b", "1")}}, ""},
		{"unresponsive", "b:1:zz:n", &membership.View{Confirmed: true, Missing: []membership.Member{member("b", "1")}}, verdict.ReasonHomeUnreachable},
		{"unresponsive, nothing listens", "b:1:zz:n", &membership.View{Confirmed: true, Missing: []membership.Member{ended}}, verdict.ReasonHomeGone},
		{"older process, newer one unresponsive", "b:1:zz:n", &membership.View{Confirmed: true, Missing: []membership.Member{member("b", "2")}}, verdict.ReasonHomeGone},
		{"replaced", "b:1:zz:n", &membership.View{Confirmed: true, Live: []membership.Member{member("b", "2")}}, verdict.ReasonHomeGone},
		{"unknown", "c:1:zz:n", &membership.View{Confirmed: true, Live: []membership.Member{member("b", "1")}}, verdict.ReasonHomeGone},
	} {
		t.Run(test.name, func(t *testing.T) {
			self := reqid.Incarnation{Instance: "a", Token: "1"}
			n := node.New(node.Config{Self: self}, nil)
			if test.view != nil {
				n.SetView(1, test.view)
			}
			b := &backend{self: self, node: n}
			_, local, err := b.Home(test.id)
			got := verdict.Reason("")
			if err != nil {
				got = err.Reason
			}
			if got != test.want || local {
				t.Errorf("reason %q, local %v; want %q", got, local, test.want)
			}
			if err != nil && err.Verdict != verdict.MayHaveRun {
				t.Errorf("verdict %v", err.Verdict)
			}
		})
	}
}
