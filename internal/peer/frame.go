package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"basilrudder/internal/schema/wire"
)

// Limits of one frame, and estimates of encoded sizes.
const (
	// MaxFrame is the maximum size of a frame in bytes, also after decompression. A larger
	// one ends the link, so a lower limit loses the longest messages; a higher one lets a
	// single frame take more memory.
	MaxFrame = 2 << 20
	// maxHelloFrame is the maximum size of a frame before the peer is authenticated. A
	// higher limit lets peers without a key take more memory; a lower one may reject a
	// hello.
	maxHelloFrame = 4 << 10

	// maxElements and maxNesting limit the lists, maps and nesting of a CBOR envelope.
	// Lower limits reject long messages, higher ones let a short frame cost more memory
	// and stack.
	maxElements = 1 << 14
	maxNesting  = 8
	// itemCost is the estimated encoded size of a small message in bytes, for the limit of
	// the queue. If it is too low, a queue holds more than MaxQueueBytes; if too high,
	// links are closed with a queue that is not full.
	itemCost = 64
	// partCost is the same for a part of a prompt.
	partCost = 24
	// paceCost is the same for each of the three numbers of a sample of pace.
	paceCost = 3
	// maxMergedBytes is the size above which no more messages are merged into a frame. Without
	// it merged frames could exceed MaxFrame.
	maxMergedBytes = 64 << 10
)

// Kind is the kind of a message in an envelope, for the counters.
type Kind uint8

// Kinds of messages.
const (
	KindHello Kind = iota
	KindPing
	KindPong
	KindMembers
	KindMemberSync
	KindConfigOffer
	KindConfigWant
	KindConfigPart
	KindAcquire
	KindWithdraw
	KindGrant
	KindRefuse
	KindQueued
	KindRelease
	KindProgress
	KindPermitAsk
	KindPermitGive
	KindLoadAsk
	KindLoadGive
	KindNews
	// KindFraming is the overhead of WebSocket, including its pings.
	KindFraming
	kindCount
)

var kindNames = [kindCount]string{
	"hello", "ping", "pong", "members", "member_sync", "config_offer",
	"config_want", "config_part", "acquire", "withdraw", "grant", "refuse", "queued",
	"release", "progress", "permit_ask", "permit_give", "load_ask", "load_give", "news",
	"framing",
}

// String returns the name of the kind.
func (k Kind) String() string {
	return kindNames[k]
}

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Decode decodes the envelope of one frame, decompressing it if necessary. Unknown fields
// are ignored, so a newer release can add some.
func Decode(data []byte) (*wire.Envelope, error) {
	data, err := decompress(data)
	if err != nil {
		return nil, err
	}
	env := new(wire.Envelope)
	if err := decMode.Unmarshal(data, env); err != nil {
		return nil, errors.Wrap(err, "decode envelope")
	}
	return env, nil
}

// Encode encodes the envelope of one frame without compression.
func Encode(env *wire.Envelope) ([]byte, error) {
	data, err := cbor.Marshal(env)
	if err != nil {
		return nil, errors.Wrap(err, "encode envelope")
	}
	return data, nil
}

// message is an envelope with the messages of one kind.
type message struct {
	kind Kind
	env  wire.Envelope
}

// splitMessages splits an envelope by kind of message.
func splitMessages(env *wire.Envelope) []message {
	out := make([]message, 0, 2)
	add := func(present bool, kind Kind, one wire.Envelope) {
		if present {
			out = append(out, message{kind, one})
		}
	}
	add(env.Hello != nil, KindHello, wire.Envelope{Hello: env.Hello})
	add(env.Ping != nil, KindPing, wire.Envelope{Ping: env.Ping})
	add(env.Pong != nil, KindPong, wire.Envelope{Pong: env.Pong})
	add(len(env.Members) > 0, KindMembers, wire.Envelope{Members: env.Members})
	add(env.MemberSync != nil, KindMemberSync, wire.Envelope{MemberSync: env.MemberSync})
	add(env.ConfigOffer != nil, KindConfigOffer, wire.Envelope{ConfigOffer: env.ConfigOffer})
	add(env.ConfigWant != nil, KindConfigWant, wire.Envelope{ConfigWant: env.ConfigWant})
	add(env.ConfigPart != nil, KindConfigPart, wire.Envelope{ConfigPart: env.ConfigPart})
	add(len(env.Acquires) > 0, KindAcquire, wire.Envelope{Acquires: env.Acquires})
	add(len(env.Withdraws) > 0, KindWithdraw, wire.Envelope{Withdraws: env.Withdraws})
	add(len(env.Grants) > 0, KindGrant, wire.Envelope{Grants: env.Grants})
	add(len(env.Refuses) > 0, KindRefuse, wire.Envelope{Refuses: env.Refuses})
	add(len(env.Queued) > 0, KindQueued, wire.Envelope{Queued: env.Queued})
	add(len(env.Releases) > 0, KindRelease, wire.Envelope{Releases: env.Releases})
	add(len(env.Progress) > 0, KindProgress, wire.Envelope{Progress: env.Progress})
	add(len(env.PermitAsks) > 0, KindPermitAsk, wire.Envelope{PermitAsks: env.PermitAsks})
	add(len(env.PermitGives) > 0, KindPermitGive, wire.Envelope{PermitGives: env.PermitGives})
	add(env.LoadAsk != nil, KindLoadAsk, wire.Envelope{LoadAsk: env.LoadAsk})
	add(env.LoadGive != nil, KindLoadGive, wire.Envelope{LoadGive: env.LoadGive})
	add(len(env.News) > 0, KindNews, wire.Envelope{News: env.News})
	return out
}

// cost estimates the size of an envelope without encoding it.
func cost(env *wire.Envelope) int {
	items := 1 + len(env.Members) + len(env.Acquires) + len(env.Withdraws) +
		len(env.Grants) + len(env.Refuses) + len(env.Queued) + len(env.Releases) +
		len(env.PermitAsks) + len(env.PermitGives)
	for _, p := range env.Progress {
		items += 1 + len(p.Items)
	}
	bytes := items * itemCost
	if env.ConfigPart != nil {
		bytes += len(env.ConfigPart.Data)
	}
	if env.LoadAsk != nil {
		bytes += itemCost * (len(env.LoadAsk.Holds) + len(env.LoadAsk.Wants))
	}
	if env.LoadGive != nil {
		bytes += itemCost * len(env.LoadGive.Engines)
	}
	for _, n := range env.News {
		bytes += itemCost * (1 + len(n.Members) + len(n.Servers) + len(n.Begun) + len(n.First) + len(n.Ended))
		bytes += paceCost * len(n.Paces)
		for _, cache := range n.Caches {
			bytes += itemCost + partCost*len(cache.Parts)
		}
	}
	return bytes
}

// canMerge reports whether src can be merged into dst: a frame holds at most one of each
// message that is not in a list.
func canMerge(dst, src *wire.Envelope) bool {
	return !(dst.Hello != nil && src.Hello != nil ||
		dst.Ping != nil && src.Ping != nil ||
		dst.Pong != nil && src.Pong != nil ||
		dst.MemberSync != nil && src.MemberSync != nil ||
		dst.ConfigOffer != nil && src.ConfigOffer != nil ||
		dst.ConfigWant != nil && src.ConfigWant != nil ||
		dst.ConfigPart != nil && src.ConfigPart != nil ||
		dst.LoadAsk != nil && src.LoadAsk != nil ||
		dst.LoadGive != nil && src.LoadGive != nil)
}

// merge adds the messages of src to dst. It does not modify the lists of src.
func merge(dst, src *wire.Envelope) {
	dst.Hello = firstNonNil(dst.Hello, src.Hello)
	dst.Ping = firstNonNil(dst.Ping, src.Ping)
	dst.Pong = firstNonNil(dst.Pong, src.Pong)
	dst.MemberSync = firstNonNil(dst.MemberSync, src.MemberSync)
	dst.ConfigOffer = firstNonNil(dst.ConfigOffer, src.ConfigOffer)
	dst.ConfigWant = firstNonNil(dst.ConfigWant, src.ConfigWant)
	dst.ConfigPart = firstNonNil(dst.ConfigPart, src.ConfigPart)
	dst.LoadAsk = firstNonNil(dst.LoadAsk, src.LoadAsk)
	dst.LoadGive = firstNonNil(dst.LoadGive, src.LoadGive)
	dst.Members = append(dst.Members, src.Members...)
	dst.Acquires = append(dst.Acquires, src.Acquires...)
	dst.Withdraws = append(dst.Withdraws, src.Withdraws...)
	dst.Grants = append(dst.Grants, src.Grants...)
	dst.Refuses = append(dst.Refuses, src.Refuses...)
	dst.Queued = append(dst.Queued, src.Queued...)
	dst.Releases = append(dst.Releases, src.Releases...)
	dst.Progress = append(dst.Progress, src.Progress...)
	dst.PermitAsks = append(dst.PermitAsks, src.PermitAsks...)
	dst.PermitGives = append(dst.PermitGives, src.PermitGives...)
	dst.News = append(dst.News, src.News...)
}

func firstNonNil[T any](a, b *T) *T {
	if a != nil {
		return a
	}
	return b
}

// coalesce merges queued envelopes into as few frames as possible. Only adjacent envelopes
// are merged, so messages are reordered only within a frame, in the order in which
// receivers handle kinds. Broadcasts are encoded once for all peers and not merged.
func coalesce(queue []outgoing) []outgoing {
	if len(queue) < 2 {
		return queue
	}
	var out []outgoing
	size, open := 0, false
	for _, o := range queue {
		if o.shared != nil {
			out = append(out, o)
			open = false
			continue
		}
		add := cost(o.env)
		if open && size+add <= maxMergedBytes && canMerge(out[len(out)-1].env, o.env) {
			merge(out[len(out)-1].env, o.env)
			size += add
			continue
		}
		merged := new(wire.Envelope)
		merge(merged, o.env)
		out = append(out, outgoing{env: merged, queuedAt: o.queuedAt})
		size, open = add, true
	}
	return out
}
