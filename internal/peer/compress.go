package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// compressedMark is the first byte of a compressed frame. No encoded envelope begins
	// with it; with another value a plain frame could be taken for a compressed one.
	compressedMark = 0
	// minCompressBytes is the minimum size in bytes of frames that are compressed. A lower one
	// spends CPU time on short frames for few bytes saved.
	minCompressBytes = 1 << 10
)

// errDecompressedTooLong reports a compressed frame that exceeds MaxFrame once decompressed.
var errDecompressedTooLong = errors.New("compressed frame exceeds the maximum frame size")

var flateWriters = sync.Pool{New: func() any {
	// NewWriter fails only for an invalid level.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

var flateReaders = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// compress compresses a frame if that makes it shorter, and otherwise returns data.
func compress(data []byte) []byte {
	if len(data) < minCompressBytes {
		return data
	}
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	out := bytes.NewBuffer(make([]byte, 0, len(data)))
	out.WriteByte(compressedMark)
	w.Reset(out)
	// Writing to a bytes.Buffer never fails.
	_, _ = w.Write(data)
	_ = w.Close()
	if out.Len() >= len(data) {
		return data
	}
	return out.Bytes()
}

// decompress returns the encoded envelope of a plain or compressed frame.
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
