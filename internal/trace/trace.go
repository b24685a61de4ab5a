// Package trace reads traces: requests and faults as JSON lines, with seeded
// mixes of requests that are generated when the trace is read.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"basilrudder/internal/catalog"
	"basilrudder/internal/schema/trace"
)

// Request is one request of a trace.
type Request struct {
	// At is the time since the start of the trace.
	At time.Duration
	// Customer and Class by name.
	Customer, Class string
	// Prefix is the hash of the prompt's prefix; 0 for none.
	Prefix uint64
	// PromptTokens of the request.
	PromptTokens int
	// OutputTokens of the answer; for a plain service its time in milliseconds.
	OutputTokens int
	// CancelAfter is the time after At at which the caller leaves; 0 for never.
	CancelAfter time.Duration
}

// Fault is one fault of a trace.
type Fault struct {
	// At is the time since the start of the trace.
	At time.Duration
	// Kind of the fault.
	Kind trace.FaultKind
	// Target is a server, an instance, a data centre, or empty.
	Target string
	// For is how long it lasts.
	For time.Duration
	// Factor of a straggler.
	Factor float64
}

// Trace is what happens to a fleet.
type Trace struct {
	// Requests in order of At.
	Requests []Request
	// Faults in order of At.
	Faults []Fault
	// Length is the time of the last request or the end of the generated ones.
	Length time.Duration
}

// maxLineBytes bounds a line of a trace in bytes.
const maxLineBytes = 1 << 16

// Read reads a trace. The catalog gives the capacity that generated load is
// measured against, and the names that lines may use.
func Read(name string, r io.Reader, cat *catalog.Catalog) (*Trace, error) {
	lines, err := ReadLines(name, r)
	if err != nil {
		return nil, err
	}
	return Expand(name, lines, cat)
}

// ReadLines reads the lines of a trace as they stand.
func ReadLines(name string, r io.Reader) ([]trace.Line, error) {
	var lines []trace.Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		line, err := parseLine(text)
		if err != nil {
			return nil, errors.Wrapf(err, "%s:%d", name, number)
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	return lines, nil
}

func parseLine(text []byte) (trace.Line, error) {
	var line trace.Line
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&line); err != nil {
		return line, err
	}
	return line, validate(&line)
}

// validate finds the lines that could mean nothing.
func validate(line *trace.Line) error {
	kinds := 0
	for _, present := range []bool{line.Fault != nil, line.Class != "", line.Generate != ""} {
		if present {
			kinds++
		}
	}
	switch {
	case kinds != 1:
		return errors.New("a line has exactly one of class, fault and generate")
	case line.AtMS < 0 || line.ForMS < 0 || line.Factor < 0 || line.Load < 0 || line.Burst < 0 || line.LeavesMS < 0:
		return errors.New("times, factors and loads are not negative")
	case line.PromptTokens < 0 || line.OutputTokens < 0 || line.Seed < 0:
		return errors.New("tokens and seeds are not negative")
	case line.AtMS > maxMS || line.ForMS > maxMS || line.LeavesMS > maxMS:
		return errors.New("times are at most a week")
	case line.Class != "" && line.Customer == "":
		return errors.New("a request has a customer")
	case line.Fault != nil && !isKnownFault(*line.Fault):
		return errors.Errorf("unknown fault %q", *line.Fault)
	}
	return nil
}

// maxMS keeps every time far from overflow.
const maxMS = 7 * 24 * 3600 * 1000

func isKnownFault(kind trace.FaultKind) bool {
	return slices.Contains([]trace.FaultKind{
		trace.FaultKindCrash, trace.FaultKindStraggle, trace.FaultKindPause, trace.FaultKindPartition,
		trace.FaultKindSilence, trace.FaultKindConfigDown, trace.FaultKindConfigStale,
		trace.FaultKindWithdraw, trace.FaultKindPublish, trace.FaultKindInstanceReplace,
	}, kind)
}

// Expand turns lines into a trace, generates what they ask for and checks the
// names of customers and classes.
func Expand(name string, lines []trace.Line, cat *catalog.Catalog) (*Trace, error) {
	t := &Trace{}
	for i := range lines {
		if err := t.add(&lines[i], cat); err != nil {
			return nil, errors.Wrapf(err, "%s: line %d", name, i+1)
		}
	}
	slices.SortStableFunc(t.Requests, func(a, b Request) int { return int(a.At - b.At) })
	slices.SortStableFunc(t.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return t, nil
}

func (t *Trace) add(line *trace.Line, cat *catalog.Catalog) error {
	at := milliseconds(line.AtMS)
	switch {
	case line.Fault != nil:
		t.Faults = append(t.Faults, Fault{
			At: at, Kind: *line.Fault, Target: line.Target, For: milliseconds(line.ForMS), Factor: line.Factor,
		})
	case line.Generate != "":
		requests, err := Generate(line, cat)
		if err != nil {
			return err
		}
		t.Requests = append(t.Requests, requests...)
		t.Length = max(t.Length, at+milliseconds(line.ForMS))
	default:
		if cat.Classes[line.Class] == nil || cat.Customers[line.Customer] == nil {
			return fmt.Errorf("class %q or customer %q is not in the inventory", line.Class, line.Customer)
		}
		t.Requests = append(t.Requests, Request{
			At: at, Customer: line.Customer, Class: line.Class, Prefix: prefixHash(line.Prefix),
			PromptTokens: line.PromptTokens, OutputTokens: line.OutputTokens, CancelAfter: milliseconds(line.LeavesMS),
		})
		t.Length = max(t.Length, at)
	}
	return nil
}

func prefixHash(name string) uint64 {
	if name == "" {
		return 0
	}
	return xxhash.Sum64String(name)
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
