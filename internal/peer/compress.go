package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// compressedMark is the first byte of a compressed frame. No envelope begins with it.
	compressedMark = 0
	// minCompressBytes is the size in bytes from which frames are compressed.
	minCompressBytes = 1 << 10
)

// errDecompressedTooLong says that a compressed frame holds more than a frame may.
var errDecompressedTooLong = errors.New("a compressed frame is too long")

var flateWriters = sync.Pool{New: func() any {
	// The level is valid, so there is no error.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

var flateReaders = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// compress compresses a frame where that makes it shorter.
func compress(data []byte) []byte {
	if len(data) < minCompressBytes {
		return data
	}
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	out := bytes.NewBuffer(make([]byte, 0, len(data)))
	out.WriteByte(compressedMark)
	w.Reset(out)
	// A bytes.Buffer takes every write.
	_, _ = w.Write(data)
	_ = w.Close()
	if out.Len() >= len(data) {
		return data
	}
	return out.Bytes()
}

// decompress returns the envelope of a frame.
func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedMark {
		return data, nil
	}
	r := flateReaders.Get().(io.ReadCloser)
	defer flateReaders.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data[1:]), nil); err != nil {
		return nil, errors.Wrap(err, "decompress frame")
	}
	out, err := io.ReadAll(io.LimitReader(r, MaxFrame+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress frame")
	}
	if len(out) > MaxFrame {
		return nil, errDecompressedTooLong
	}
	return out, nil
}
