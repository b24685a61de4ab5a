package upstream

import (
	"bytes"
	"context"
	"net"
	"time"

	"basilrudder/internal/schema/engineapi"
)

// bytesConn accepts every write and answers with fixed bytes.
type bytesConn struct {
	net.Conn
	answer bytes.Reader
}

func dialBytes(answer []byte) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		c := new(bytesConn)
		c.answer.Reset(answer)
		return c, nil
	}
}

func (c *bytesConn) Read(p []byte) (int, error)       { return c.answer.Read(p) }
func (c *bytesConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *bytesConn) Close() error                     { return nil }
func (c *bytesConn) SetReadDeadline(time.Time) error  { return nil }
func (c *bytesConn) SetWriteDeadline(time.Time) error { return nil }

type discard struct{}

func (discard) Token(engineapi.TokenEvent) error { return nil }
