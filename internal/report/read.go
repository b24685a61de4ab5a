// Package report reads accounting lines and reports which requests were served, which were
// refused and why. Lines may be in any order, repeated, or cut off at any point: each
// request counts exactly once, and one whose end is missing counts as unknown, never as
// served.
package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"

	"github.com/go-faster/errors"

	"basilrudder/internal/schema/accounting"
)

const (
	// maxLine bounds a line, in bytes. Accounting lines are far shorter.
	maxLine = 256 << 10
	// maxObjects bounds the objects searched for in a damaged line.
	maxObjects = 8
	// objectStart begins an object of accounting; within strings it is escaped.
	objectStart = `{"`
	// maxTime is after any time a line may have, in seconds since 1970.
	maxTime = 1e11
	// stdinName is the file name that stands for standard input.
	stdinName = "-"
)

// Messages of the lines that are read; other lines are ignored.
const (
	messageAccounting = "accounting"
	messageLost       = "accounting_lost"
)

// Lines counts the lines that were read.
type Lines struct {
	// Accounting lines that are whole.
	Accounting int `json:"accounting"`
	// Damaged lines: cut off, or not valid.
	Damaged int `json:"damaged"`
	// Other lines of the log.
	Other int `json:"other"`
	// Lost lines (marks and decisions), as reported by the instances.
	Lost int `json:"lost"`
}

// sink receives the content of the lines.
type sink interface {
	// record receives a complete record.
	record(r *accounting.Record)
	// remnant receives what is left of a damaged record: evidence that the request existed.
	remnant(r *accounting.Record)
}

// readFiles reads all lines of the files; "-" is standard input.
func readFiles(files []string, to sink) (Lines, error) {
	var lines Lines
	for _, name := range files {
		if err := readFile(name, &lines, to); err != nil {
			return lines, err
		}
	}
	return lines, nil
}

func readFile(name string, lines *Lines, to sink) error {
	if name == stdinName {
		return readLines(os.Stdin, lines, to)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := readLines(file, lines, to); err != nil {
		return errors.Wrap(err, name)
	}
	return nil
}

func readLines(in io.Reader, lines *Lines, to sink) error {
	reader := bufio.NewReaderSize(in, maxLine)
	for {
		line, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			lines.Damaged++
			err = skipLine(reader)
			line = nil
		}
		if len(line) > 0 {
			readLine(line, lines, to)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// line is any line of the log.
type line struct {
	accounting.Record
	Lines int `json:"lines"`
}

// readLine reads one line. A log collector may have put a prefix before the JSON.
func readLine(text []byte, lines *Lines, to sink) {
	text = bytes.TrimSpace(text)
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		if len(text) > 0 {
			lines.Other++
		}
		return
	}
	readObjects(text[start:], lines, to)
}

// readObjects reads the object that a line holds. If a process died within a line, the
// next process may have continued the same line, so the search continues at the next
// object; accounting records contain no nested objects.
func readObjects(text []byte, lines *Lines, to sink) {
	for range maxObjects {
		var l line
		if err := json.Unmarshal(text, &l); err == nil {
			readWhole(&l, lines, to)
			return
		}
		next := bytes.Index(text[1:], []byte(objectStart))
		if next < 0 {
			break
		}
		readDamaged(text[:1+next], lines, to)
		text = text[1+next:]
	}
	readDamaged(text, lines, to)
}

func readWhole(l *line, lines *Lines, to sink) {
	switch {
	case l.Msg == messageLost:
		lines.Lost += max(l.Lines, 0)
	case l.Msg != messageAccounting:
		lines.Other++
	case !valid(&l.Record):
		lines.Damaged++
	default:
		lines.Accounting++
		to.record(&l.Record)
	}
}

func valid(r *accounting.Record) bool {
	switch r.Kind {
	case accounting.RecordKindStart, accounting.RecordKindMark, accounting.RecordKindEnd, accounting.RecordKindDecision:
	default:
		return false
	}
	counts := counted(r.Seq) && counted(r.Tokens) && counted(r.WastedTokens) && counted(r.PromptTokens)
	durations := r.QueueMS >= 0 && r.FirstTokenMS >= 0 && r.TotalMS >= 0
	return r.Request != "" && counts && durations && r.Ts >= 0 && r.Ts < maxTime
}

// counted reports whether n is a plausible count of one request. Instances write no larger
// ones, which could make the totals overflow.
func counted(n int) bool {
	const maxCount = 1 << 40
	return 0 <= n && n <= maxCount
}

// readDamaged extracts what is left of a truncated line. If a process died while writing
// the only line of a request, the request must still be counted.
func readDamaged(text []byte, lines *Lines, to sink) {
	lines.Damaged++
	var r accounting.Record
	r.Msg, _ = salvage(text, &r)
	if r.Msg == messageAccounting && r.Request != "" && r.Kind != accounting.RecordKindDecision {
		to.remnant(&r)
	}
}

// salvage returns the complete strings at the beginning of a truncated JSON object.
// Numbers are omitted, since they may have lost digits.
func salvage(text []byte, r *accounting.Record) (msg string, err error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if _, err := decoder.Token(); err != nil {
		return "", err
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return msg, err
		}
		value, err := decoder.Token()
		if err != nil {
			return msg, err
		}
		name, _ := key.(string)
		text, isString := value.(string)
		if !isString {
			continue
		}
		if name == "msg" {
			msg = text
		}
		setSalvaged(r, name, text)
	}
	return msg, nil
}

func setSalvaged(r *accounting.Record, name, value string) {
	switch name {
	case "kind":
		r.Kind = accounting.RecordKind(value)
	case "instance":
		r.Instance = value
	case "incarnation":
		r.Incarnation = value
	case "request":
		r.Request = value
	case "customer":
		r.Customer = value
	case "class":
		r.Class = value
	}
}
