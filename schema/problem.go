package schema

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault of a published file or of the settings.
type Problem struct {
	// File that holds the fault.
	File string
	// Key in the file, like servers[3:draft-04].slots; an array item shows its
	// index and, where it has one, its name or id.
	Key string
	// Value found, as JSON, shortened; HiddenValue where it is a secret.
	Value string
	// Expected says what would be right.
	Expected string
}

// Values that Problem shows in place of the one in the file.
const (
	HiddenValue  = "(hidden)"
	MissingValue = "(missing)"
)

// String returns the problem as one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	b.WriteString(": ")
	if p.Key != "" {
		b.WriteString(p.Key)
		b.WriteString(": ")
	}
	if p.Value != "" {
		b.WriteString(p.Value)
		b.WriteString(": ")
	}
	b.WriteString("expected ")
	b.WriteString(p.Expected)
	return b.String()
}

// Problems is every fault found in one go; it is an error when not empty.
type Problems []Problem

// Error lists the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return fmt.Sprintf("%d problem(s)\n%s", len(ps), strings.Join(lines, "\n"))
}

// Err returns the problems as an error, or nil when there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Sort orders the problems by file, then key, then what was expected, so that
// two readings of the same files report the same.
func (ps Problems) Sort() {
	sort.SliceStable(ps, func(i, j int) bool {
		a, b := ps[i], ps[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Key != b.Key {
			return a.Key < b.Key
		}
		return a.Expected < b.Expected
	})
}
