package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"basilrudder/internal/schema/engineapi"
)

// maxEventBytes limits a line of an event stream and the data of one event. A larger
// event fails the stream. Each event reader has a buffer of this size.
const maxEventBytes = 64 << 10

// eventReader reads the token events of a text/event-stream body.
type eventReader struct {
	lines *bufio.Reader
	// data is the data of the event that is being read.
	data []byte
	// decoderInput passes the data of one event at a time to the decoder. One decoder and
	// its buffers can then be used for the whole stream.
	decoderInput bytes.Reader
	decoder      *json.Decoder
	// expectedOffset is the decoder's input offset if it has consumed exactly all data
	// passed to it.
	expectedOffset int64
}

func newEventReader() *eventReader {
	r := &eventReader{lines: bufio.NewReaderSize(nil, maxEventBytes)}
	r.decoder = json.NewDecoder(&r.decoderInput)
	return r
}

func (r *eventReader) reset(body io.Reader) {
	r.lines.Reset(body)
	r.data = r.data[:0]
}

var (
	fieldData       = []byte("data")
	errNotOneObject = errors.New("event data is not one JSON object")
)

// next reads up to the end of the next event or comment. For a comment, which shows that
// the stream is alive but carries no event, ok is false.
func (r *eventReader) next(event *engineapi.TokenEvent) (ok bool, err error) {
	for {
		line, err := r.readLine()
		if err != nil {
			return false, err
		}
		if len(line) == 0 {
			if len(r.data) > 0 {
				return true, r.decode(event)
			}
			continue
		}
		if line[0] == ':' {
			return false, nil
		}
		if err := r.parseField(line); err != nil {
			return false, err
		}
	}
}

func (r *eventReader) readLine() ([]byte, error) {
	line, err := r.lines.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte{'\r'}), nil
}

func (r *eventReader) parseField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	if !bytes.Equal(name, fieldData) {
		return nil
	}
	value = bytes.TrimPrefix(value, []byte{' '})
	if len(r.data)+len(value) > maxEventBytes {
		return bufio.ErrBufferFull
	}
	r.data = append(r.data, value...)
	return nil
}

// decode decodes the data of one event, which must be exactly one JSON object. Anything
// after the object would remain in the decoder and be taken for the next event.
func (r *eventReader) decode(event *engineapi.TokenEvent) error {
	data := bytes.TrimSpace(r.data)
	r.data = r.data[:0]
	if len(data) == 0 || data[0] != '{' {
		return errNotOneObject
	}
	*event = engineapi.TokenEvent{}
	r.decoderInput.Reset(data)
	r.expectedOffset += int64(len(data))
	err := r.decoder.Decode(event)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errNotOneObject
	}
	if err == nil && r.decoder.InputOffset() != r.expectedOffset {
		return errNotOneObject
	}
	return err
}
