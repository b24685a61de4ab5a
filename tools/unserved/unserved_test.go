package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2026, 1, 1, 10, 0, 0, 0, time.UTC)

// ended returns the log line of an attempt that began some milliseconds after start.
func ended(route string, began, took, deadline int, outcome string) string {
	at := start.Add(milliseconds(int64(began + took))).Format(time.RFC3339Nano)
	return fmt.Sprintf(`0.1 edge {"ts":%q,"msg":"request_ended","service":"s","route":%q,"rank":1,"took_ms":%d,"deadline_ms":%d,%s}`+"\n",
		at, route, took, deadline, outcome)
}

const (
	servedLine  = `"status":200`
	refusedLine = `"status":503,"come_back_ms":500`
)

func linked(t *testing.T, lines ...string) []request {
	t.Helper()
	attempts, err := read(strings.NewReader(strings.Join(lines, "")))
	if err != nil {
		t.Fatal(err)
	}
	return link(attempts)
}

// Guards against counting a caller that returned as two requests, one of them unserved.
func TestACallerThatReturnsIsOneRequest(t *testing.T) {
	requests := linked(t,
		ended("a", 0, 5, 3000, refusedLine),
		ended("a", 520, 40, 2484, servedLine),
		ended("a", 1000, 5, 3000, refusedLine),
		ended("a", 1530, 40, 1900, servedLine),
		ended("b", 1520, 40, 2484, servedLine),
	)
	var got []string
	for _, r := range requests {
		got = append(got, fmt.Sprint(r.route, r.began.Sub(start).Milliseconds(), r.served))
	}
	if diff := cmp.Diff([]string{"a0 true", "a1000 false", "a1530 true", "b1520 true"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestTheWorstWindowOfEachRouteIsFound(t *testing.T) {
	var lines []string
	for i := range 20 {
		outcome := servedLine
		if i >= 16 {
			outcome = `"status":502`
		}
		lines = append(lines, ended("a", 100*i, 10, 3000, outcome), ended("b", 100*i, 10, 3000, servedLine))
	}
	lines = append(lines, "not a line of an instance\n", `{"msg":"started"}`+"\n")
	windows := worstWindows(linked(t, lines...), time.Second, 100*time.Millisecond, 10)
	var got []string
	for _, w := range windows {
		got = append(got, fmt.Sprint(w.route, w.from.Sub(start).Milliseconds(), " ", w.unserved, "/", w.requests))
	}
	if diff := cmp.Diff([]string{"a1000 4/10", "b0 0/10"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestBadOptionsAreReported(t *testing.T) {
	if err := (&options{Window: 0, Step: time.Second}).run(nil); err != errWindow {
		t.Errorf("no window: %v", err)
	}
	if err := (&options{Window: time.Second, Step: time.Second}).run(nil); err != errNoData {
		t.Errorf("no files: %v", err)
	}
}
