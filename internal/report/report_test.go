package report

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/schema/accounting"
	"basilrudder/internal/verdict"
)

const testNow = 1_000_000.0

func encode(t testing.TB, r accounting.Record) string {
	t.Helper()
	r.Msg = messageAccounting
	if r.Instance == "" {
		r.Instance, r.Incarnation = "i1", "a"
	}
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func start(id, customer, class string, ts float64) accounting.Record {
	return accounting.Record{Kind: accounting.RecordKindStart, Request: id, Customer: customer, Class: class, Ts: ts}
}

func served(id, customer, class string, ts float64, onTime bool) accounting.Record {
	return accounting.Record{
		Kind: accounting.RecordKindEnd, Request: id, Seq: 9, Customer: customer, Class: class, Ts: ts,
		Verdict: verdict.TextRan, Delivered: true, OnTime: onTime,
		Tokens: 10, WastedTokens: 1, TotalMS: 100, FirstTokenMS: 20, QueueMS: 5,
	}
}

func refused(id, customer, class string, ts float64, reason verdict.Reason) accounting.Record {
	return accounting.Record{
		Kind: accounting.RecordKindEnd, Request: id, Seq: 9, Customer: customer, Class: class, Ts: ts,
		Verdict: verdict.TextNotRun, Reason: string(reason),
	}
}

func parse(t testing.TB, text string) *Report {
	t.Helper()
	rs := newRequests()
	var lines Lines
	if err := readLines(strings.NewReader(text), &lines, rs); err != nil {
		t.Fatal(err)
	}
	return build(rs, lines, Options{Now: testNow, Goal: 0.9})
}

func TestTotals(t *testing.T) {
	lost := refused("5", "one", "draft", testNow-1, verdict.ReasonUpstreamLost)
	lost.Verdict = verdict.TextMayHaveRun
	lost.Tokens = 4
	var lines []string
	for _, r := range []accounting.Record{
		start("1", "one", "lookup", testNow-100), served("1", "one", "lookup", testNow-90, true),
		start("2", "one", "lookup", testNow-100), served("2", "one", "lookup", testNow-90, false),
		start("3", "two", "lookup", testNow-50), refused("3", "two", "lookup", testNow-50, verdict.ReasonOverloaded),
		start("4", "two", "lookup", testNow-50), refused("4", "two", "lookup", testNow-50, verdict.ReasonRateLimited),
		start("5", "one", "draft", testNow-10), lost,
		start("6", "one", "draft", testNow-10),
		{Kind: accounting.RecordKindMark, Request: "6", Seq: 2, Tokens: 33, Ts: testNow - 5},
	} {
		lines = append(lines, encode(t, r))
	}
	got := parse(t, strings.Join(lines, "\n"))
	want := Totals{
		Requests: 6, Served: 2, OnTime: 1, Refused: 2, OwnFault: 1, Failed: 1, Unknown: 1,
		GoodTokens: 10, Tokens: 20, WastedTokens: 6, UnknownTokens: 33,
		Attainment: 0.2, GoodputPerS: 1 / 99.0, GoodTokensPerS: 10 / 99.0, WasteShare: 6 / 26.0,
	}
	if diff := cmp.Diff(want, got.Total); diff != "" {
		t.Error(diff)
	}
	wantRefusals := []Refusal{
		{"one", "draft", "unknown", "unknown", 1},
		{"one", "draft", "upstream_lost", "may_have_run", 1},
		{"two", "lookup", "overloaded", "not_run", 1},
		{"two", "lookup", "rate_limited", "not_run", 1},
	}
	if diff := cmp.Diff(wantRefusals, got.Refusals); diff != "" {
		t.Error(diff)
	}
	if len(got.Classes) != 2 || len(got.Customers) != 2 || len(got.Cells) != 3 {
		t.Errorf("%d classes, %d customers, %d cells", len(got.Classes), len(got.Customers), len(got.Cells))
	}
	lookup := got.Classes[1]
	if lookup.Name != "lookup" || lookup.Duration.Count != 2 || lookup.Attainment != 1/3.0 {
		t.Errorf("%+v", lookup)
	}
}

func TestBurnCountsItsWindowOnly(t *testing.T) {
	var lines []string
	add := func(n int, age float64, onTime bool) {
		for range n {
			id := fmt.Sprint(len(lines))
			lines = append(lines, encode(t, served(id, "c", "k", testNow-age, onTime)))
		}
	}
	add(1, 100, false)
	add(9, 200, true)
	add(90, 2000, true)
	add(100, 10*24*3600, false)
	got := parse(t, strings.Join(lines, "\n"))
	want := []Burn{
		{WindowS: 300, Requests: 10, Missed: 1, Rate: 1},
		{WindowS: 3600, Requests: 100, Missed: 1, Rate: 0.1},
		{WindowS: 6 * 3600, Requests: 100, Missed: 1, Rate: 0.1},
		{WindowS: 24 * 3600, Requests: 100, Missed: 1, Rate: 0.1},
		{WindowS: 30 * 24 * 3600, Requests: 200, Missed: 101, Rate: 5.05},
	}
	for i, burn := range got.Burn {
		burn.Rate = float64(int(burn.Rate*1000+0.5)) / 1000
		if burn != want[i] {
			t.Errorf("%+v, want %+v", burn, want[i])
		}
	}
}

// An instance dies with a request in flight. Its start line is there and no end
// line: the request must not count as served, nor vanish.
func TestRequestOfADeadInstanceIsUnknown(t *testing.T) {
	whole := encode(t, start("1", "one", "draft", testNow-10))
	got := parse(t, whole+"\n"+encode(t, served("1", "one", "draft", testNow, true))[:60])
	if got.Total.Unknown != 1 || got.Total.Requests != 1 || got.Lines.Damaged != 1 {
		t.Errorf("%+v %+v", got.Total, got.Lines)
	}
}

// The process dies while it writes a request's only line.
func TestCutStartLineStillCounts(t *testing.T) {
	line := encode(t, start("1", "one", "draft", testNow-10))
	got := parse(t, line[:strings.LastIndex(line, `,"seq"`)+3])
	if got.Total.Unknown != 1 || got.Customers[0].Name != "one" {
		t.Errorf("%+v %+v", got.Total, got.Customers)
	}
}

// The output of a new process follows a half line of the old one without a line
// break. The new line must not be lost with the old one.
func TestLineBehindACutOneIsRead(t *testing.T) {
	cut := encode(t, start("1", "one", "draft", testNow-10))
	got := parse(t, cut[:len(cut)-20]+encode(t, served("2", "one", "draft", testNow, true)))
	if got.Total.Unknown != 1 || got.Total.Served != 1 {
		t.Errorf("%+v", got.Total)
	}
}

// Only the owner of a group tells of a request, since the entry instance's
// output was lost.
func TestDecisionOfAnotherInstanceCountsOnlyAlone(t *testing.T) {
	decision := accounting.Record{
		Kind: accounting.RecordKindDecision, Request: "1", Instance: "i2", Incarnation: "b",
		Customer: "one", Class: "draft", Ts: testNow - 5,
	}
	alone := parse(t, encode(t, decision))
	if alone.Total.Unknown != 1 || alone.Total.Requests != 1 {
		t.Errorf("alone: %+v", alone.Total)
	}
	both := parse(t, encode(t, decision)+"\n"+encode(t, served("1", "one", "draft", testNow, true)))
	if both.Total.Served != 1 || both.Total.Requests != 1 {
		t.Errorf("with its end: %+v", both.Total)
	}
}

func TestOtherLinesAreLeftOut(t *testing.T) {
	text := strings.Join([]string{
		"", "plain text", `{"msg":"started","level":"info"}`, `{"msg":"accounting_lost","lines":7}`,
		`2026-01-01T00:00:00Z stdout ` + encode(t, served("1", "one", "draft", testNow, true)),
		`{"msg":"accounting","kind":"other","instance":"i","incarnation":"a","request":"x","seq":1}`,
		strings.Repeat("x", 2*maxLine),
	}, "\n")
	got := parse(t, text)
	if want := (Lines{Accounting: 1, Damaged: 2, Other: 2, Lost: 7}); got.Lines != want {
		t.Errorf("%+v, want %+v", got.Lines, want)
	}
	if got.Total.Requests != 1 {
		t.Errorf("%+v", got.Total)
	}
}

// scenario writes the lines of n random requests.
func scenario(t testing.TB, rng *rand.Rand, n int) []string {
	var lines []string
	for i := range n {
		id := fmt.Sprintf("r%d", i)
		customer := fmt.Sprintf("c%d", rng.IntN(3))
		class := fmt.Sprintf("k%d", rng.IntN(3))
		ts := testNow - 5000*rng.Float64()
		records := []accounting.Record{
			start(id, customer, class, ts),
			{Kind: accounting.RecordKindDecision, Request: id, Seq: 1, Ts: ts, Message: "granted"},
			{Kind: accounting.RecordKindMark, Request: id, Seq: 2, Ts: ts + 1, Tokens: rng.IntN(50)},
		}
		switch rng.IntN(4) {
		case 0:
			records = append(records, refused(id, customer, class, ts+2, verdict.ReasonOverloaded))
		case 1:
			// The instance died.
		default:
			records = append(records, served(id, customer, class, ts+2, rng.IntN(3) > 0))
		}
		for _, r := range records {
			r.Instance, r.Incarnation = fmt.Sprintf("i%d", i%4), "a"
			lines = append(lines, encode(t, r))
		}
	}
	return lines
}

// Lines come repeated and in any order: nothing in the report changes.
func TestOrderAndRepetitionChangeNothing(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		lines := scenario(t, rng, 40)
		want := parse(t, strings.Join(lines, "\n"))
		for range 30 {
			lines = append(lines, lines[rng.IntN(len(lines))])
		}
		rng.Shuffle(len(lines), func(i, j int) { lines[i], lines[j] = lines[j], lines[i] })
		got := parse(t, strings.Join(lines, "\n"))
		got.Lines = want.Lines
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	}
}

// Lines are cut off anywhere: a request whose end line was cut becomes unknown,
// and nothing else changes. One line of each request stays whole, since of a
// request without any line nobody can tell.
func TestCutLinesOnlyMakeRequestsUnknown(t *testing.T) {
	const count = 40
	rng := rand.New(rand.NewPCG(3, 4))
	for range 50 {
		lines := scenario(t, rng, count)
		before := parse(t, strings.Join(lines, "\n")).Total
		var whole []string
		cutEnds := 0
		for i, text := range lines {
			if strings.Contains(text, `"kind":"mark"`) || rng.IntN(3) > 0 {
				whole = append(whole, text)
				continue
			}
			if strings.Contains(text, `"kind":"end"`) {
				cutEnds++
			}
			lines[i] = text[:rng.IntN(len(text)-1)+1]
		}
		got := parse(t, strings.Join(lines, "\n")).Total
		if got.Requests != count || got.Unknown != before.Unknown+cutEnds {
			t.Fatalf("%d requests and %d unknown, want %d and %d", got.Requests, got.Unknown, count, before.Unknown+cutEnds)
		}
		want := parse(t, strings.Join(whole, "\n")).Total
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	}
}

func FuzzLines(f *testing.F) {
	f.Add([]byte(encode(f, start("1", "one", "draft", 1)) + "\n" + encode(f, served("1", "one", "draft", 2, true))))
	f.Add([]byte(encode(f, start("1", "one", "draft", 1))[:70] + encode(f, refused("2", "", "", 2, "overloaded"))))
	f.Add([]byte(`{"msg":"accounting_lost","lines":-7}`))
	f.Add([]byte(`{"msg":"accounting","kind":"end","instance":"i","incarnation":"a","request":"x","seq":1,"ts":1e308,"total_ms":1e308}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		r := parse(t, string(text))
		total := r.Total
		if total.Requests != total.Served+total.Refused+total.Failed+total.Unknown {
			t.Errorf("the outcomes do not add up: %+v", total)
		}
		if total.OnTime > total.Served || total.OwnFault > total.Refused || total.Attainment < 0 || total.Attainment > 1 {
			t.Errorf("%+v", total)
		}
		if _, err := json.Marshal(r); err != nil {
			t.Error(err)
		}
		twice := parse(t, string(text)+"\n"+string(text)).Total
		if diff := cmp.Diff(total, twice); diff != "" {
			t.Error(diff)
		}
	})
}

// BenchmarkRead reads the lines of one request: start, decision, mark and end.
func BenchmarkRead(b *testing.B) {
	text := strings.Join(scenario(b, rand.New(rand.NewPCG(9, 10)), 1000), "\n")
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		parse(b, text)
	}
}
