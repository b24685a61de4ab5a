package membudget

import (
	"io"

	"github.com/go-faster/errors"
)

// ErrNone reports that requests hold as much memory as they may.
var ErrNone = errors.New("the instance holds too many bytes for requests")

// Holder counts what a request holds.
type Holder interface {
	// Hold counts n further bytes. It reports false if there are none left, or the request was
	// given up for others.
	Hold(n int64) bool
	// Release counts n bytes as free.
	Release(n int64)
}

// ReadAll reads a body of a declared length in bytes, or of an unknown one (-1), up to its end. Each byte
// is counted before there is room for it. The room grows as bytes arrive: a declared length alone takes
// none. The error is ErrNone if there is no memory.
func ReadAll(h Holder, r io.Reader, declared int64) ([]byte, error) {
	size := int64(Small)
	if declared >= 0 {
		size = min(size, declared)
	}
	if !h.Hold(size) {
		return nil, ErrNone
	}
	body := make([]byte, 0, size)
	for int64(len(body)) != declared {
		if len(body) == cap(body) {
			var ok bool
			if body, ok = grow(h, body, declared); !ok {
				return nil, ErrNone
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) == declared, err == io.EOF && declared < 0:
			return body, nil
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
	return body, nil
}

// grow doubles the room of a body, up to its declared length if that is known.
func grow(h Holder, body []byte, declared int64) ([]byte, bool) {
	smaller := int64(cap(body))
	larger := 2 * smaller
	if declared >= 0 {
		larger = min(larger, declared)
	}
	if !h.Hold(larger) {
		return nil, false
	}
	body = append(make([]byte, 0, larger), body...)
	h.Release(smaller)
	return body, true
}
