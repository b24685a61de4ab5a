package eventstream

import "testing"

// Guards against a missed or an invented end of an event with CRLF or CR, in any split.
func TestEventsEndAtBlankLinesInEverySplit(t *testing.T) {
	for _, c := range []struct {
		name, stream string
		closed       int
		events       int
		open         bool
	}{
		{"empty", "", 0, 0, false},
		{"LF", "id: 1\ndata: a\n\nid: 2\n\n", 22, 2, false},
		{"CRLF", "id: 1\r\ndata: a\r\n\r\n", 18, 1, false},
		{"CR", "id: 1\rdata: a\r\r", 15, 1, false},
		{"CR before the LF of the blank line", "data: a\r\n\r", 10, 1, false},
		{"mixed", "data: a\r\n\n\ndata: b\n\r\n", 21, 2, false},
		{"inside a line", "data: a\n\nda", 9, 1, true},
		{"between the lines of an event", "data: a\n\ndata: b\n", 9, 1, true},
		{"blank lines only", "\n\r\n\n", 4, 0, false},
		{"comment", ": alive\n", 8, 0, false},
		{"inside a comment", "data: a\n\n: ali", 9, 1, true},
		{"comment inside an event", "data: a\n: alive\n", 0, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for split := range len(c.stream) + 1 {
				var s Scanner
				first, before := s.Scan([]byte(c.stream[:split]))
				closed, events := s.Scan([]byte(c.stream[split:]))
				if closed > 0 {
					closed += split
				} else {
					closed = first
				}
				if closed != c.closed || before+events != c.events || s.Open() != c.open {
					t.Errorf("split at %d: closed %d, events %d, open %v", split, closed, before+events, s.Open())
				}
			}
		})
	}
}
