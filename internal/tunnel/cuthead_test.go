package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"basilrudder/internal/netconn"
	"basilrudder/internal/standin/faultnet"
)

// silence is how long a part of an answer is waited for, and patience a whole one.
const (
	silence  = 20 * time.Millisecond
	patience = 10 * time.Second
)

// Guards against an answer whose head was broken off and that looks whole behind a tunnel.
func TestHeadsCutBehindATunnelAreNoAnswers(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Type: text/event-stream\r\n\r\n",
		"HTTP/1.1 103 Early\r\nX-Id: r\r\n\r\nHTTP/1.1 204 None\r\n\r\n",
	} {
		for name, end := range faultnet.Ends {
			p := newPair(t)
			p.server.MaxOpen = len(head) + 1
			for cut := range len(head) + 1 {
				near, far := p.open()
				_, _ = io.WriteString(far, head[:cut])
				if cut < len(head) {
					go end(far)
				}
				wait := patience
				if name == "silent" && cut < len(head) {
					wait = silence
				}
				_ = near.SetReadDeadline(time.Now().Add(wait))
				if err := readHead(near); (err == nil) != (cut == len(head)) {
					t.Errorf("%s: %v after %q", name, err, head[:cut])
				}
				_ = near.Close()
				_ = far.Close()
			}
		}
	}
}

// readHead reads the head of a final answer.
func readHead(c net.Conn) error {
	reader := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return err
		}
	}
}

// Guards against a tunnel that counts as open, or as refused for a reason, by a part of an answer.
func TestAPartOfAPeersAnswerIsNoAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + upgradeProtocol + "\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\n" + headerReason + ": refused\r\nContent-Length: 0\r\n\r\n",
	} {
		for name, end := range faultnet.Ends {
			var plays sync.WaitGroup
			for cut := range len(head) + 1 {
				plays.Go(func() {
					wait := patience
					if name == "silent" && cut < len(head) {
						wait = silence
					}
					err := openAtCutPeer(t, head[:cut], wait, end)
					if answered := err == nil || err == ErrRefused; answered != (cut == len(head)) {
						t.Errorf("%s: %v after %q", name, err, head[:cut])
					}
				})
			}
			plays.Wait()
		}
	}
}

// openAtCutPeer opens a tunnel through a peer that answers with sent and ends the connection by
// end.
func openAtCutPeer(t *testing.T, sent string, wait time.Duration, end func(net.Conn)) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var served sync.WaitGroup
	defer served.Wait()
	defer listener.Close() // first: the client may have given up before it was connected
	served.Go(func() {
		far, err := listener.Accept()
		if err != nil {
			return
		}
		defer far.Close()
		_, _ = http.ReadRequest(bufio.NewReader(far))
		_, _ = io.WriteString(far, sent)
		end(far)
		_, _ = io.Copy(io.Discard, far)
	})
	client := Client{Self: self, Secret: secret, Dial: netconn.Dial}
	ctx, cancel := context.WithTimeout(t.Context(), wait)
	defer cancel()
	conn, err := client.Open(ctx, NewID(), peer, listener.Addr().String(), "s1")
	if err == nil {
		_ = conn.Close()
	}
	return err
}
