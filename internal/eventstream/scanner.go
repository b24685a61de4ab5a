// Package eventstream finds where the events of a stream of server-sent events end, by the
// grammar of the HTML Living Standard, section 9.2.5: lines end with CRLF, LF or CR, and a
// blank line ends an event.
package eventstream

// Scanner follows a stream that arrives in parts of any size. The zero value is at the
// start of a stream.
type Scanner struct {
	inLine, inComment bool
	// inEvent means that lines of an event have come since the last blank line.
	inEvent bool
	// afterCR means that the last byte was a CR, of which a LF would be the second half.
	afterCR bool
}

// Open reports whether the stream is inside an event or a line. A stream that ends there
// was broken off.
func (s *Scanner) Open() bool { return s.inLine || s.inEvent }

// Scan takes the next bytes of the stream. It returns how many of them come before the
// event or line that is still open after them, and how many events ended in them.
func (s *Scanner) Scan(data []byte) (closed, events int) {
	for i, b := range data {
		switch b {
		case '\n', '\r':
			if s.endLine(b) {
				events++
			}
		default:
			if !s.inLine {
				s.inLine, s.inComment = true, b == ':'
			}
			s.afterCR = false
		}
		if !s.Open() {
			closed = i + 1
		}
	}
	return closed, events
}

// endLine takes the byte that ends a line and reports whether an event ended with it.
func (s *Scanner) endLine(b byte) bool {
	if b == '\n' && s.afterCR {
		s.afterCR = false
		return false
	}
	s.afterCR = b == '\r'
	blank := !s.inLine
	ended := blank && s.inEvent
	switch {
	case blank:
		s.inEvent = false
	case !s.inComment:
		s.inEvent = true
	}
	s.inLine = false
	return ended
}
