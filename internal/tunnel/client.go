package tunnel

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/netconn"
)

// maxAnswerHead bounds the answer of a peer before its tunnel begins, in bytes. Another
// process may have the address of a peer that is gone.
const maxAnswerHead = 16 << 10

// Client opens tunnels.
type Client struct {
	// Self is the process that opens tunnels.
	Self Instance
	// Secret of the links between instances.
	Secret string
	// Dial opens a connection to a peer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// NewID returns the id of a tunnel, by which the logs of both instances name it.
func NewID() string {
	raw := make([]byte, 8)
	rand.Read(raw)
	return hex.EncodeToString(raw)
}

// Open opens a tunnel to a server through a peer. After an error the server has got no
// bytes.
func (c *Client) Open(ctx context.Context, id string, peer Instance, peerAddress, server string) (net.Conn, error) {
	raw, err := c.Dial(ctx, peerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "connect to peer")
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	conn, err := c.upgrade(raw, id, peer, server)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, raw.SetDeadline(time.Time{})
}

func (c *Client) upgrade(raw net.Conn, id string, peer Instance, server string) (net.Conn, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+peer.ID+Path, nil)
	if err != nil {
		return nil, err
	}
	for name, value := range map[string]string{
		"Connection": "Upgrade", "Upgrade": upgradeProtocol,
		headerInstance: c.Self.ID, headerIncarnation: c.Self.Incarnation, headerServer: server, headerTunnel: id,
		headerToken: token(c.Secret, c.Self, peer, server, id),
	} {
		req.Header.Set(name, value)
	}
	if err := req.Write(raw); err != nil {
		return nil, errors.Wrap(err, "ask peer")
	}
	limit := &netconn.LimitedReader{R: raw}
	limit.SetLimit(maxAnswerHead)
	reader := bufio.NewReader(limit)
	resp, err := http.ReadResponse(reader, req)
	err = limit.EndLimit(err)
	if err != nil {
		return nil, errors.Wrap(err, "answer of peer")
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return newConn(raw, reader), nil
	}
	// The connection closes, so the rest of the answer need not be read.
	_ = resp.Body.Close()
	if reason := reasons[resp.Header.Get(headerReason)]; reason != nil {
		return nil, reason
	}
	return nil, errors.Errorf("peer answered with status %d", resp.StatusCode)
}
