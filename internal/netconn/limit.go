package netconn

import (
	"io"

	"github.com/go-faster/errors"
)

// ErrTooLong is the error of a read beyond its limit.
var ErrTooLong = errors.New("more bytes were sent than are accepted")

// LimitedReader reads from R, while a limit is set only up to it. It bounds what a parser
// buffers, whatever the other side sends.
//
// An error of R other than a timeout is final: a socket reports a reset once, and an ordinary
// end from then on.
type LimitedReader struct {
	R       io.Reader
	limited bool
	left    int64 // bytes
	failed  error // of R
}

// SetLimit allows reading n bytes from now on.
func (l *LimitedReader) SetLimit(n int64) { l.limited, l.left = true, n }

// EndLimit allows reading any number of bytes again, and returns the error of the parser that
// read up to the limit. Parsers report what was cut off there as malformed; then the cause is
// ErrTooLong.
func (l *LimitedReader) EndLimit(err error) error {
	exceeded := l.limited && l.left <= 0
	l.limited = false
	if err != nil && exceeded {
		return errors.Join(ErrTooLong, err)
	}
	return err
}

// Read implements io.Reader.
func (l *LimitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.read(p)
	}
	if l.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := l.read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

func (l *LimitedReader) read(p []byte) (int, error) {
	if l.failed != nil {
		return 0, l.failed
	}
	n, err := l.R.Read(p)
	if err != nil && !IsTimeout(err) {
		l.failed = err
	}
	return n, err
}

// Discard reads r to its end. It returns ErrTooLong if that is more than limit bytes away.
func Discard(r io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r, limit+1))
	if err == nil && n > limit {
		return ErrTooLong
	}
	return err
}
