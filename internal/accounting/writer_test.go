package accounting

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/quantile"
	"basilrudder/internal/schema/accounting"
)

func fixedTime() time.Time {
	return time.Unix(1000, 500_000_000)
}

// fill sets every field of a record to a distinct value.
func fill(record *accounting.Record) {
	v := reflect.ValueOf(record).Elem()
	for i := range v.NumField() {
		switch field := v.Field(i); field.Kind() {
		case reflect.String:
			field.SetString(strings.Repeat("x", i+1))
		case reflect.Int:
			field.SetInt(int64(i + 1))
		case reflect.Float64:
			field.SetFloat(float64(i) + 0.5)
		case reflect.Bool:
			field.SetBool(true)
		}
	}
	record.Msg = recordMessage
}

// Guards against a field that is added to the schema but not to the writer: it would be
// missing from every line without an error.
func TestEveryFieldOfTheSchemaIsWritten(t *testing.T) {
	var want, got accounting.Record
	fill(&want)
	var out bytes.Buffer
	w := NewWriter(&out, fixedTime)
	w.Write(want)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestWriteAddsMissingTimestamp(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out, fixedTime)
	w.Write(accounting.Record{Kind: accounting.RecordKindStart, Request: "r"})
	_ = w.Close()
	var got accounting.Record
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if got.Ts != 1000.5 {
		t.Errorf("ts %v", got.Ts)
	}
}

// stalledOutput blocks writes until release is closed.
type stalledOutput struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *stalledOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(p)
}

// Guards against losing start or end records, without which the report miscounts requests.
// Standard output stalls and the queue fills with marks: further marks are dropped and
// counted, end records wait.
func TestStalledOutputKeepsStartAndEndLines(t *testing.T) {
	out := &stalledOutput{release: make(chan struct{})}
	w := NewWriter(out, fixedTime)
	lost := 0
	for range 3 * queueCapacity {
		if !w.Write(accounting.Record{Kind: accounting.RecordKindMark, Request: "mark"}) {
			lost++
		}
	}
	if lost == 0 {
		t.Fatal("the queue did not fill")
	}
	var ends sync.WaitGroup
	const requests = 100
	for range requests {
		ends.Go(func() {
			w.Write(accounting.Record{Kind: accounting.RecordKindEnd, Request: "end"})
		})
	}
	close(out.release)
	ends.Wait()
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if got := strings.Count(text, `"request":"end"`); got != requests {
		t.Errorf("%d end lines, want %d", got, requests)
	}
	if !strings.Contains(text, lostMessage) {
		t.Error("no line reports the lost marks")
	}
	if got := w.metrics.lost.Value(); got != int64(lost) {
		t.Errorf("counted %d lost, want %d", got, lost)
	}
}

func TestVarsCountByClassAndReason(t *testing.T) {
	w := NewWriter(io.Discard, fixedTime)
	defer w.Close()
	start := accounting.Record{Kind: accounting.RecordKindStart, Class: "lookup"}
	w.Write(start)
	w.Write(start)
	w.Write(accounting.Record{
		Kind: accounting.RecordKindEnd, Class: "lookup", Reason: "overloaded", Verdict: "ran",
		Tokens: 7, WastedTokens: 3, Delivered: true, OnTime: true, TotalMS: 20, FirstTokenMS: 10,
	})
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	var got struct {
		InFlight  map[string]int              `json:"in_flight_by_class"`
		Reasons   map[string]int              `json:"ended_by_reason"`
		Tokens    map[string]int              `json:"tokens_by_class"`
		Wasted    map[string]int              `json:"wasted_tokens_by_class"`
		Delivered map[string]int              `json:"delivered_by_class"`
		Total     map[string]quantile.Summary `json:"total_ms_by_class"`
	}
	if err := json.Unmarshal([]byte(w.Vars().String()), &got); err != nil {
		t.Fatal(err)
	}
	if got.InFlight["lookup"] != 1 || got.Reasons["overloaded"] != 1 || got.Delivered["lookup"] != 1 {
		t.Errorf("%+v", got)
	}
	if got.Tokens["lookup"] != 7 || got.Wasted["lookup"] != 3 {
		t.Errorf("%+v", got)
	}
	if total := got.Total["lookup"]; total.Count != 1 || total.P50 < 19 || total.P50 > 21 {
		t.Errorf("total %+v", total)
	}
}

func TestWriteAfterCloseIsCounted(t *testing.T) {
	w := NewWriter(io.Discard, fixedTime)
	_ = w.Close()
	if w.Write(accounting.Record{Kind: accounting.RecordKindEnd}) {
		t.Error("Write accepted a record after Close")
	}
	if got := w.metrics.lost.Value(); got != 1 {
		t.Errorf("counted %d", got)
	}
}

func BenchmarkWrite(b *testing.B) {
	b.ReportAllocs()
	w := NewWriter(io.Discard, time.Now)
	defer w.Close()
	record := accounting.Record{
		Kind: accounting.RecordKindEnd, Instance: "i1", Incarnation: "7f3a", Request: "i1-7f3a-100-1",
		Customer: "c1", Class: "lookup", Verdict: "ran", Status: 200, Tokens: 100, TotalMS: 12.5,
	}
	for b.Loop() {
		w.Write(record)
	}
}
