package abuse

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Framing is how a body is sent.
type Framing int

// The framings.
const (
	// Whole bodies have a length and are written at once.
	Whole Framing = iota
	// Pieces have a length and are written in pieces of pieceSize bytes.
	Pieces
	// Chunked bodies have chunks of chunkSize bytes.
	Chunked
)

// String returns the name of the framing.
func (f Framing) String() string { return [...]string{"whole", "pieces", "chunked"}[f] }

const (
	pieceSize = 1 << 10
	chunkSize = 4 << 10
)

// Unfinished sends a request with a body of so many bytes up to its last byte, or last chunk. The
// head begins with the request line and has no empty line at its end.
func Unfinished(head string, size int, framing Framing) func(net.Conn) error {
	body := strings.Repeat("x", size-1)
	return func(conn net.Conn) error {
		if framing == Chunked {
			if _, err := io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
				return err
			}
			chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkSize, strings.Repeat("x", chunkSize))
			return write(conn, strings.Repeat(chunk, size/chunkSize), len(chunk))
		}
		if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, size); err != nil {
			return err
		}
		if framing == Whole {
			return write(conn, body, len(body))
		}
		return write(conn, body, pieceSize)
	}
}

// write writes a text in pieces.
func write(conn net.Conn, text string, piece int) error {
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// Text sends a text at once.
func Text(text string) func(net.Conn) error {
	return func(conn net.Conn) error { return write(conn, text, len(text)) }
}

// Slowly sends a text, and then another one each interval.
func Slowly(first, next string, interval time.Duration) func(net.Conn) error {
	return func(conn net.Conn) error {
		for text := first; ; text = next {
			if _, err := io.WriteString(conn, text); err != nil {
				return err
			}
			time.Sleep(interval)
		}
	}
}

// Fields returns header fields of so many bytes together, as many as fit.
func Fields(size int) string { return strings.Repeat("abc:\r\n", size/len("abc:\r\n")) }

// DistinctFields is Fields with a name of its own for each.
func DistinctFields(size int) string {
	var out strings.Builder
	for n := 0; ; n++ {
		field := fmt.Sprintf("%x:\r\n", n)
		if out.Len()+len(field) > size {
			return out.String()
		}
		out.WriteString(field)
	}
}
