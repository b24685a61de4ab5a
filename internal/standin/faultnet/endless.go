package faultnet

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
)

const (
	// endlessBlock is the size of one write of SendWithoutEnd, and endlessMax how much it
	// sends if its connection is not closed before, both in bytes.
	endlessBlock = 32 << 10
	endlessMax   = 32 << 20
)

// SendWithoutEnd sends head, and then unit again and again until the other side closes the
// connection. It adds the bytes of the units that were read to sent.
func SendWithoutEnd(c net.Conn, head, unit string, sent *atomic.Int64) {
	_, err := io.WriteString(c, head)
	block := []byte(strings.Repeat(unit, endlessBlock/len(unit)+1))
	for n := 0; err == nil && sent.Load() < endlessMax; {
		n, err = c.Write(block)
		sent.Add(int64(n))
	}
}
