package peer

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/schema/wire"
)

// coalesced runs coalesce on envelopes that are no broadcasts.
func coalesced(envs ...*wire.Envelope) (out []*wire.Envelope) {
	var queue []outgoing
	for _, env := range envs {
		queue = append(queue, outgoing{env: env})
	}
	for _, o := range coalesce(queue) {
		out = append(out, o.env)
	}
	return out
}

// A broadcast is queued between envelopes of this link alone. It is encoded once for all
// links, so no envelope may be merged into it, nor may a later envelope be merged into an
// earlier one past it.
func TestBroadcastIsNotCoalesced(t *testing.T) {
	broadcast := outgoing{env: &wire.Envelope{News: []wire.RelayNews{{Number: 1}}}, shared: &sharedEncoding{}}
	queue := []outgoing{
		{env: &wire.Envelope{Acquires: []wire.Acquire{{Seq: 1}}}}, broadcast,
		{env: &wire.Envelope{Acquires: []wire.Acquire{{Seq: 2}}}},
		{env: &wire.Envelope{Acquires: []wire.Acquire{{Seq: 3}}}},
	}
	got := coalesce(queue)
	if len(got) != 3 || got[1].shared != broadcast.shared || len(got[0].env.Acquires) != 1 || len(got[2].env.Acquires) != 2 {
		t.Errorf("%d frames: %+v", len(got), got)
	}
}

func TestCoalesceKeepsOrder(t *testing.T) {
	// A message must not be sent in an earlier frame than the ones queued before it, such as
	// a ping before the table comparison that it follows. Two pings must not be merged.
	queue := []*wire.Envelope{
		{Acquires: []wire.Acquire{{Seq: 1}}},
		{Withdraws: []wire.Withdraw{{Seq: 1}}},
		{Ping: &wire.Ping{Seq: 1}},
		{Ping: &wire.Ping{Seq: 2}},
		{Acquires: []wire.Acquire{{Seq: 2}}},
	}
	got := coalesced(queue...)
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

func TestEveryEnvelopeFieldIsMergedAndCounted(t *testing.T) {
	// Guards against a field of the envelope that the functions merging and counting
	// envelopes omit: it arrives when sent alone, and is lost without an error when it is
	// coalesced with another message.
	typ := reflect.TypeFor[wire.Envelope]()
	if typ.NumField() != int(KindFraming) {
		t.Errorf("an envelope has %d fields, there are %d kinds", typ.NumField(), KindFraming)
	}
	for i := range typ.NumField() {
		env := new(wire.Envelope)
		field := reflect.ValueOf(env).Elem().Field(i)
		if field.Kind() == reflect.Slice {
			field.Set(reflect.MakeSlice(field.Type(), 1, 1))
		} else {
			field.Set(reflect.New(field.Type().Elem()))
		}
		one := coalesced(new(wire.Envelope), env)
		if len(one) != 1 || !reflect.DeepEqual(one[0], env) {
			t.Errorf("%s is lost by merging", typ.Field(i).Name)
		}
		if len(splitMessages(env)) != 1 {
			t.Errorf("%s is not counted", typ.Field(i).Name)
		}
		if field.Kind() == reflect.Pointer && len(coalesced(env, env)) != 2 {
			t.Errorf("two %s are merged into one frame, which holds only one", typ.Field(i).Name)
		}
	}
}

func TestReflectedAndReplayedSignaturesAreRefused(t *testing.T) {
	// A peer without the key reflects a signature of the acceptor, or replays one from an
	// earlier handshake. Both must be refused.
	key := Key{"k1", "a secret of the fleet"}
	dialer := newHello(Identity{ID: "a"}, key, newNonce())
	acceptor := newHello(Identity{ID: "b"}, key, newNonce())
	mac := sign(key, roleAcceptor, dialer, acceptor)
	if err := verify([]Key{key}, "k1", mac, roleAcceptor, dialer, acceptor); err != nil {
		t.Error(err)
	}
	if err := verify([]Key{key}, "k1", mac, roleDialer, dialer, acceptor); err == nil {
		t.Error("accepted a reflected signature")
	}
	again := newHello(Identity{ID: "a"}, key, newNonce())
	if err := verify([]Key{key}, "k1", mac, roleAcceptor, again, acceptor); err == nil {
		t.Error("accepted a signature over another nonce")
	}
}

func TestVersionNegotiation(t *testing.T) {
	// During a rolling upgrade two releases communicate. They use the highest common
	// version, and refuse the link if there is none.
	self := Identity{ID: "a"}
	newer := &wire.Hello{ID: "b", Version: Version + 3, MinVersion: Version}
	if got, err := negotiate(self, newer); err != nil || got.version != Version {
		t.Errorf("agree = %+v, %v", got, err)
	}
	tooNew := &wire.Hello{ID: "b", Version: Version + 3, MinVersion: Version + 1}
	if _, err := negotiate(self, tooNew); !errors.Is(err, ErrVersion) {
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
		f.Add(compress(append(data, make([]byte, minCompressBytes)...)))
	}
	f.Add(compress(make([]byte, 2*minCompressBytes)))
	f.Fuzz(func(t *testing.T, data []byte) {
		env, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Encode(env); err != nil {
			t.Errorf("decoded envelope cannot be encoded: %v", err)
		}
		splitMessages(env)
	})
}

// Guards against compression that changes a frame or makes it longer.
func TestCompressionPreservesFrames(t *testing.T) {
	for _, n := range []int{0, 1, minCompressBytes - 1, minCompressBytes, 100_000} {
		for name, fill := range map[string]func(i int) byte{
			"alike":  func(int) byte { return 'a' },
			"random": func(i int) byte { return byte(rand.Uint32()) },
		} {
			want := make([]byte, n)
			for i := range want {
				want[i] = fill(i)
			}
			env := &wire.Envelope{ConfigPart: &wire.ConfigPart{Data: want}}
			plain, err := encode(env, false)
			if err != nil {
				t.Fatal(err)
			}
			compressed, err := encode(env, true)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Decode(compressed)
			if err != nil || !bytes.Equal(got.ConfigPart.Data, want) {
				t.Errorf("%d bytes %s: %v", n, name, err)
			}
			if len(compressed) > len(plain) {
				t.Errorf("%d bytes %s: %d compressed, %d plain", n, name, len(compressed), len(plain))
			}
		}
	}
}

// Guards against a short frame that exhausts memory when it is decompressed.
func TestDecompressedSizeIsBounded(t *testing.T) {
	if _, err := Decode(compress(make([]byte, MaxFrame+1))); !errors.Is(err, errDecompressedTooLong) {
		t.Errorf("%v", err)
	}
	if _, err := Decode(compress(make([]byte, 100_000))[:50]); err == nil {
		t.Error("accepted a truncated frame")
	}
}

// Guards against compressed frames for a peer of protocol version 1, which cannot decode
// them.
func TestVersion1PeerGetsUncompressedFrames(t *testing.T) {
	theirs := &wire.Hello{Version: 1, MinVersion: 1, ID: "old"}
	agreed, err := negotiate(Identity{ID: "new"}, theirs)
	if err != nil || agreed.version >= versionCompressed {
		t.Errorf("version %d: %v", agreed.version, err)
	}
}

// Guards against long messages that are counted as short ones in the limit of a queue.
func TestCostFollowsEncodedSize(t *testing.T) {
	parts := make([]wire.RelayPart, 640)
	for i := range parts {
		parts[i] = wire.RelayPart{ID: "0123456789abcdef", Tokens: 100_000}
	}
	for name, env := range map[string]*wire.Envelope{
		"a piece": {ConfigPart: &wire.ConfigPart{Data: make([]byte, 32<<10)}},
		"caches":  {News: []wire.RelayNews{{Caches: []wire.RelayCache{{Server: "s", Parts: parts}}}}},
	} {
		data, err := Encode(env)
		if err != nil {
			t.Fatal(err)
		}
		if got := cost(env); got < len(data)/2 || got > 2*len(data) {
			t.Errorf("%s: a cost of %d for %d bytes", name, got, len(data))
		}
	}
}
