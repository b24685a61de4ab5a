package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"

	"github.com/go-faster/errors"

	"basilrudder/internal/standin/faultnet"
)

// longRequestBytes is more than the buffers of the connections of a tunnel hold.
const longRequestBytes = 8 << 20

// answerEarly plays servers that end their connections by end while a long request is still
// being written. It returns how many of the answers looked whole.
func answerEarly(t *testing.T, plays int, answer string, end func(*net.TCPConn)) (whole int) {
	p := newPair(t)
	p.server.MaxOpen = plays
	connect := p.server.Connect
	p.server.Connect = func(ctx context.Context, server string) (net.Conn, error) {
		c, err := connect(ctx, server)
		if err == nil {
			// A short buffer keeps the writer waiting.
			err = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
		}
		return c, err
	}
	request := make([]byte, longRequestBytes)
	for range plays {
		near, far := p.open()
		go func() { _, _ = near.Write(request) }()
		_, _ = io.ReadFull(far, make([]byte, 64))
		_, _ = io.WriteString(far, answer)
		end(far.(*net.TCPConn))
		got, err := io.ReadAll(near)
		if err == nil && string(got) == answer {
			whole++
		}
		_ = near.Close()
		_ = far.Close()
	}
	return whole
}

// Guards against a reset that only the writer to the server learns of, so that a part looks whole.
func TestAResetWhileTheRequestIsPassedOnIsNoEnd(t *testing.T) {
	const plays = 100
	if whole := answerEarly(t, plays, "part", func(c *net.TCPConn) { faultnet.Reset(c) }); whole > 0 {
		t.Errorf("%d of %d parts looked whole", whole, plays)
	}
}

// Guards against whole answers that are cut as their server doesn't read the rest of a request.
func TestAnAnswerBeforeTheEndOfTheRequestStaysWhole(t *testing.T) {
	const plays = 50
	answer := string(bytes.Repeat([]byte("answer "), 1<<12))
	for name, end := range map[string]func(*net.TCPConn){
		"closed":           func(c *net.TCPConn) { _ = c.CloseWrite() },
		"closed and reset": func(c *net.TCPConn) { _ = c.CloseWrite(); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			if whole := answerEarly(t, plays, answer, end); whole < plays {
				t.Errorf("%d of %d whole answers looked broken", plays-whole, plays)
			}
		})
	}
}

// Guards against an idle tunnel that ends like a complete answer.
func TestAnIdleTunnelEndsWithoutEndOfTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, peerNear := net.Pipe()
		upstream, far := net.Pipe()
		go func() { _, _ = io.WriteString(far, "part") }()
		p := &passage{near: peerNear, upstream: upstream, rate: &rateMeter{}}
		go func() { _ = p.run() }()
		got, err := io.ReadAll(newConn(near, bufio.NewReader(near)))
		if string(got) != "part" || !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q, %v", got, err)
		}
		_ = near.Close()
	})
}
