package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// packedMark is the first byte of a compressed frame. No envelope begins with it.
	packedMark = 0
	// packLeast is the size in bytes from which frames are compressed.
	packLeast = 1 << 10
)

// errUnpacked says that a compressed frame holds more than a frame may.
var errUnpacked = errors.New("a compressed frame is too long")

var packers = sync.Pool{New: func() any {
	// The level is valid, so there is no error.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

var unpackers = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// pack compresses a frame where that makes it shorter.
func pack(data []byte) []byte {
	if len(data) < packLeast {
		return data
	}
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	out := bytes.NewBuffer(make([]byte, 0, len(data)))
	out.WriteByte(packedMark)
	w.Reset(out)
	// A bytes.Buffer takes every write.
	_, _ = w.Write(data)
	_ = w.Close()
	if out.Len() >= len(data) {
		return data
	}
	return out.Bytes()
}

// unpack returns the envelope of a frame.
func unpack(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != packedMark {
		return data, nil
	}
	r := unpackers.Get().(io.ReadCloser)
	defer unpackers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data[1:]), nil); err != nil {
		return nil, errors.Wrap(err, "decompress frame")
	}
	out, err := io.ReadAll(io.LimitReader(r, MaxFrame+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress frame")
	}
	if len(out) > MaxFrame {
		return nil, errUnpacked
	}
	return out, nil
}
