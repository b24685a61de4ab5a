// Package tunnel carries connections to servers through another instance.
//
// An instance opens a TCP connection to a peer and asks it by an HTTP upgrade (RFC 9110,
// section 7.8) for a server. The peer connects to that server and from then on passes
// bytes on. It neither parses nor repeats requests: to the instance that opened it, a
// tunnel is a connection to the server, with the same meaning of each failure.
//
// Bytes towards the server are passed on as they are. Bytes from the server come in frames
// of a length of four bytes and as many bytes; a length of 0 says that the server has closed
// its side. Without that frame the end of a tunnel is an error: an answer that ends with
// its connection must not look complete because a peer was killed.
package tunnel

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"syscall"
)

const (
	// frameHeader is the size of a frame's length.
	frameHeader = 4
	// bufferSize bounds the bytes held for one direction of a tunnel, and a frame.
	bufferSize = 16 << 10
)

// Conn is the end of a tunnel at the instance that opened it.
type Conn struct {
	net.Conn
	reader *bufio.Reader

	header   [frameHeader]byte
	received int // bytes of header received
	left     int // bytes of the current frame not read yet
	ended    bool
}

// newConn returns a Conn; reader reads from c.
func newConn(c net.Conn, reader *bufio.Reader) net.Conn {
	out := &Conn{Conn: c, reader: reader}
	if sc, ok := c.(syscall.Conn); ok {
		return &systemConn{Conn: out, system: sc}
	}
	return out
}

// systemConn is a Conn over a socket of the operating system.
type systemConn struct {
	*Conn
	system syscall.Conn
}

// SyscallConn implements syscall.Conn.
func (c *systemConn) SyscallConn() (syscall.RawConn, error) { return c.system.SyscallConn() }

// Buffered returns the number of bytes that were received and not read.
func (c *Conn) Buffered() int { return c.reader.Buffered() }

// Read implements net.Conn. An error by a deadline leaves the Conn usable.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	if c.left == 0 {
		c.ended = true
		return 0, io.EOF
	}
	n, err := c.reader.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, unexpected(err)
}

// readHeader reads the length of the next frame, which may arrive in parts.
func (c *Conn) readHeader() error {
	for c.received < frameHeader {
		n, err := c.reader.Read(c.header[c.received:])
		c.received += n
		if err != nil {
			return unexpected(err)
		}
	}
	c.received = 0
	c.left = int(binary.BigEndian.Uint32(c.header[:]))
	if c.left > bufferSize {
		return errInvalidFrame
	}
	return nil
}

// unexpected turns the end of the connection to the peer into an error.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// writeFrames copies from a server to w in frames until the server closes its side.
func writeFrames(w io.Writer, from io.Reader, count func(n int)) error {
	buffer := make([]byte, frameHeader+bufferSize)
	for {
		n, err := from.Read(buffer[frameHeader:])
		if n > 0 {
			count(n)
			binary.BigEndian.PutUint32(buffer, uint32(n))
			if _, err := w.Write(buffer[:frameHeader+n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			_, err = w.Write(make([]byte, frameHeader))
			return err
		}
		if err != nil {
			return err
		}
	}
}
