package peer

import (
	"testing"

	"basilrudder/internal/schema/wire"
)

// Values of typical length, as the encoded size depends on them.
const (
	sampleSeq      = 1_500_000_000
	sampleGroup    = "zqwn9.0"
	sampleEngine   = "engine"
	sampleServer   = "drafting-11"
	sampleClass    = 0xfedcba98
	sampleCustomer = 0x7123456789abcdef
	samplePrefix   = 0x7edcba9876543210
	sampleTokens   = 55
)

func sampleItems(n int, adopted bool) []wire.ProgressItem {
	var out []wire.ProgressItem
	for i := range n {
		item := wire.ProgressItem{Seq: sampleSeq + i, Tokens: sampleTokens}
		if adopted {
			item.Engine = sampleServer + "/" + sampleEngine
			item.Class, item.Customer, item.Tier = sampleClass, sampleCustomer, 3
		}
		out = append(out, item)
	}
	return out
}

func progressOf(n int, adopted bool) *wire.Envelope {
	return &wire.Envelope{Progress: []wire.Progress{{Group: sampleGroup, Items: sampleItems(n, adopted)}}}
}

// A daemon may use 6 KB/s for control messages. Each request costs its owner and its holder
// these messages, so their sizes limit the request rate within this budget; see
// docs/design/who-decides.md.
func TestRequestMessageSizes(t *testing.T) {
	for _, m := range []struct {
		name  string
		bound int
		env   *wire.Envelope
	}{
		{"acquire", 88, &wire.Envelope{Acquires: []wire.Acquire{{
			Seq: sampleSeq, Group: sampleGroup, Class: sampleClass, Customer: sampleCustomer, Tier: 3,
			PromptTokens: 1200, Prefix: samplePrefix, BudgetMS: 5000, EndBudgetMS: 120_000}}}},
		{"grant", 72, &wire.Envelope{Grants: []wire.Grant{{
			Seq: sampleSeq, Group: sampleGroup, Server: sampleServer, Engine: sampleEngine,
			Priority: 3, LeaseMS: 6000, BacklogMS: 120, PrefixHit: true}}}},
		{"refuse", 56, &wire.Envelope{Refuses: []wire.Refuse{{
			Seq: sampleSeq, Group: sampleGroup, Reason: "overloaded", RetryAfterMS: 1200, BacklogMS: 1200}}}},
		{"queued", 40, &wire.Envelope{Queued: []wire.Queued{{Group: sampleGroup, BacklogMS: 1200}}}},
		{"permit ask", 40, &wire.Envelope{PermitAsks: []wire.PermitAsk{{Customer: sampleCustomer, Requests: 12, Tokens: 3000, Overdraft: 200}}}},
		{"permit give", 40, &wire.Envelope{PermitGives: []wire.PermitGive{{Customer: sampleCustomer, Requests: 12, Tokens: 3000, LeaseMS: 3000}}}},
		{"withdraw", 32, &wire.Envelope{Withdraws: []wire.Withdraw{{Seq: sampleSeq, Group: sampleGroup}}}},
		{"release", 48, &wire.Envelope{Releases: []wire.Release{{
			Seq: sampleSeq, Group: sampleGroup, Tokens: sampleTokens, FirstTokenMS: 340, GapUS: 7300}}}},
		{"renewal of 1", 40, progressOf(1, false)},
		{"renewal of 10", 160, progressOf(10, false)},
		{"adoption of 10", 600, progressOf(10, true)},
	} {
		data, err := Encode(m.env)
		if err != nil {
			t.Fatal(err)
		}
		size := len(data) + frameOverhead(len(data), true)
		t.Logf("%-14s %4d bytes, %4d with the frame header", m.name, len(data), size)
		if size > m.bound {
			t.Errorf("%s has %d bytes, limit %d", m.name, size, m.bound)
		}
	}
}
