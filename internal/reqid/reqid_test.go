package reqid

import (
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

func seconds(n int) monotime.Instant {
	return monotime.Instant(time.Duration(n) * time.Second)
}

func mustID(t *testing.T, inc Incarnation, issued time.Time, lifetime time.Duration, nonce string) ID {
	t.Helper()
	prefix, ok := inc.Prefix(issued, lifetime)
	if !ok {
		t.Fatalf("no prefix for %v", inc)
	}
	id, err := Parse(prefix + nonce)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// Guards against a second run when a caller that received no answer retries under the same
// id. While the table holds the id, it is ClaimSeen. After the table has dropped it, it is
// ClaimExpired by the same clock that dropped it.
func TestClaimNeverStartsAnIDTwice(t *testing.T) {
	started := time.UnixMilli(1_700_000_000_000)
	inc := NewIncarnation("entry-1", started, 7)
	id := mustID(t, inc, started.Add(10*time.Second), 30*time.Second, "a")
	table := NewTable(8, 30*time.Second)

	steps := []struct {
		at   int
		want Claim
	}{{10, ClaimNew}, {11, ClaimSeen}, {39, ClaimSeen}, {40, ClaimExpired}, {4000, ClaimExpired}}
	for _, step := range steps {
		if got := table.Claim(seconds(step.at), id); got != step.want {
			t.Errorf("claim at %d s = %v, want %v", step.at, got, step.want)
		}
	}
	if got := table.Len(); got != 0 {
		t.Errorf("%d ids in the table after expiry", got)
	}
}

func TestClaimRefusesBeyondCapacityAndLifetime(t *testing.T) {
	started := time.UnixMilli(1_700_000_000_000)
	inc := NewIncarnation("entry-1", started, 7)
	table := NewTable(2, 30*time.Second)
	id := mustID(t, inc, started, 30*time.Second, "a")
	if got := table.Claim(seconds(1), id); got != ClaimNew {
		t.Fatalf("first claim = %v", got)
	}
	other := mustID(t, inc, started, 30*time.Second, "other")
	if got := table.Claim(seconds(1), other); got != ClaimNew {
		t.Errorf("second claim = %v", got)
	}
	full := mustID(t, inc, started, 30*time.Second, "b")
	if got := table.Claim(seconds(1), full); got != ClaimFull {
		t.Errorf("claim of a full table = %v", got)
	}
	table.Release(id.Text)
	if got := table.Claim(seconds(1), id); got != ClaimNew {
		t.Errorf("claim after Release = %v", got)
	}
	far := mustID(t, inc, started, time.Hour, "c")
	if got := table.Claim(seconds(1), far); got != ClaimTooFar {
		t.Errorf("claim an hour ahead = %v", got)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("entry-1:lq2z.3:1e:abc")
	f.Add(":::")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(id.Text)
		if err != nil || again != id {
			t.Errorf("%q parsed to %+v, then %+v, %v", text, id, again, err)
		}
	})
}
