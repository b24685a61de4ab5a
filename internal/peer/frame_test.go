package peer

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/schema/wire"
)

func TestCoalesceKeepsOrder(t *testing.T) {
	// A ping that follows a table comparison must not travel in an earlier
	// frame than it, and two pings must not become one.
	queue := []*wire.Envelope{
		{Acquires: []wire.Acquire{{Seq: 1}}},
		{Withdraws: []wire.Withdraw{{Seq: 1}}},
		{Ping: &wire.Ping{Seq: 1}},
		{Ping: &wire.Ping{Seq: 2}},
		{Acquires: []wire.Acquire{{Seq: 2}}},
	}
	got := coalesce(queue)
	want := []*wire.Envelope{
		{Acquires: []wire.Acquire{{Seq: 1}}, Withdraws: []wire.Withdraw{{Seq: 1}}, Ping: &wire.Ping{Seq: 1}},
		{Ping: &wire.Ping{Seq: 2}, Acquires: []wire.Acquire{{Seq: 2}}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if len(queue[0].Withdraws) != 0 {
		t.Error("coalesce changed a queued envelope")
	}
}

func TestSignaturesHaveOneUse(t *testing.T) {
	// Somebody without the key sends an acceptor's signature back to it, or
	// one from an earlier handshake. Both must fail.
	key := Key{"k1", "a secret of the fleet"}
	dialer := hello(Identity{ID: "a"}, key, newNonce())
	acceptor := hello(Identity{ID: "b"}, key, newNonce())
	mac := sign(key, roleAcceptor, dialer, acceptor)
	if err := verify([]Key{key}, "k1", mac, roleAcceptor, dialer, acceptor); err != nil {
		t.Error(err)
	}
	if err := verify([]Key{key}, "k1", mac, roleDialer, dialer, acceptor); err == nil {
		t.Error("accepted a reflected signature")
	}
	again := hello(Identity{ID: "a"}, key, newNonce())
	if err := verify([]Key{key}, "k1", mac, roleAcceptor, again, acceptor); err == nil {
		t.Error("accepted a signature over another nonce")
	}
}

func TestVersionsSideBySide(t *testing.T) {
	// During a rolling replacement two releases talk. They use what both
	// speak, and refuse when there is nothing.
	self := Identity{ID: "a"}
	newer := &wire.Hello{ID: "b", Version: Version + 3, MinVersion: Version}
	if got, err := agree(self, newer); err != nil || got.version != Version {
		t.Errorf("agree = %+v, %v", got, err)
	}
	tooNew := &wire.Hello{ID: "b", Version: Version + 3, MinVersion: Version + 1}
	if _, err := agree(self, tooNew); !errors.Is(err, ErrVersion) {
		t.Errorf("agree = %v, want ErrVersion", err)
	}
}

func FuzzDecode(f *testing.F) {
	for _, env := range []*wire.Envelope{
		{Ping: &wire.Ping{Seq: 1}},
		{Members: []wire.MemberUpdate{{ID: "a", Incarnation: "1", State: "a"}}},
		{Progress: []wire.Progress{{Group: "g", Items: []wire.ProgressItem{{Seq: 1}}}}},
	} {
		data, err := Encode(env)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		env, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Encode(env); err != nil {
			t.Errorf("decoded what cannot be encoded: %v", err)
		}
		parts(env)
	})
}
