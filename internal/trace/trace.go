// Package trace reads traces of requests and faults in JSON lines. A line can also name
// a mix and a seed, from which requests are generated while reading.
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
	// Customer and Class are names in the inventory.
	Customer, Class string
	// Prefix is the hash of the prompt's prefix; 0 for none.
	Prefix uint64
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// OutputTokens is the length of the response; for a plain service, its time in
	// milliseconds.
	OutputTokens int
	// CancelAfter is the time after At at which the caller disconnects; 0 for never.
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
	// For is the duration.
	For time.Duration
	// Factor is the slowdown of a straggler.
	Factor float64
}

// Trace holds the requests and faults of a simulated fleet.
type Trace struct {
	// Requests in order of At.
	Requests []Request
	// Faults in order of At.
	Faults []Fault
	// Length is the time of the last request, or the end of the last generated load if
	// that is later.
	Length time.Duration
}

// maxLineBytes bounds a line of a trace and thus the read buffer. Reading fails at a
// longer line.
const maxLineBytes = 1 << 16

// Read reads and expands a trace. The catalog gives the capacity to which generated load
// is relative, and the valid names. name is the file name in errors.
func Read(name string, r io.Reader, cat *catalog.Catalog) (*Trace, error) {
	lines, err := ReadLines(name, r)
	if err != nil {
		return nil, err
	}
	return Expand(name, lines, cat)
}

// ReadLines parses and validates the lines of a trace without expanding them.
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

// validate returns an error for a line that is ambiguous or out of range.
func validate(line *trace.Line) error {
	kinds := 0
	for _, present := range []bool{line.Fault != nil, line.Class != "", line.Generate != ""} {
		if present {
			kinds++
		}
	}
	switch {
	case kinds != 1:
		return errors.New("a line must have exactly one of class, fault and generate")
	case line.AtMS < 0 || line.ForMS < 0 || line.Factor < 0 || line.Load < 0 || line.Burst < 0 || line.LeavesMS < 0:
		return errors.New("times, factors and loads must not be negative")
	case line.PromptTokens < 0 || line.OutputTokens < 0 || line.Seed < 0:
		return errors.New("tokens and seeds must not be negative")
	case line.AtMS > maxMS || line.ForMS > maxMS || line.LeavesMS > maxMS:
		return errors.New("times must be at most a week")
	case line.Class != "" && line.Customer == "":
		return errors.New("a request must have a customer")
	case line.Fault != nil && !isKnownFault(*line.Fault):
		return errors.Errorf("unknown fault %q", *line.Fault)
	}
	return nil
}

// maxMS is a week. It keeps sums of times far below the overflow of time.Duration.
const maxMS = 7 * 24 * 3600 * 1000

func isKnownFault(kind trace.FaultKind) bool {
	return slices.Contains([]trace.FaultKind{
		trace.FaultKindCrash, trace.FaultKindStraggle, trace.FaultKindPause, trace.FaultKindPartition,
		trace.FaultKindSilence, trace.FaultKindConfigDown, trace.FaultKindConfigStale,
		trace.FaultKindWithdraw, trace.FaultKindPublish, trace.FaultKindInstanceReplace,
	}, kind)
}

// Expand builds a trace from lines. It generates the requests of mixes and fails if a
// customer or class is not in the inventory.
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
