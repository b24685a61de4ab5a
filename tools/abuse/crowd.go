// Package abuse plays clients that misbehave, many at once, and watches what the process
// that they connect to takes of its machine.
package abuse

import (
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection, and redialPause is the wait before a
	// client whose connection was closed opens another one.
	dialTimeout = time.Second
	redialPause = 50 * time.Millisecond
)

// Client is what one client sends on a connection, up to the first error. It then stays until the
// connection is closed.
type Client struct {
	// Send writes to the connection; nil for nothing.
	Send func(conn net.Conn) error
	// Reads reads all that arrives; otherwise nothing is read.
	Reads bool
	// ReceiveBuffer is the size of the socket's buffer in bytes; 0 for the system's.
	ReceiveBuffer int
	// Once leaves a client whose connection was closed without another one.
	Once bool
}

// Crowd are clients of one address.
type Crowd struct {
	address string
	clients sync.WaitGroup
	left    chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Start starts as many clients.
func Start(address string, size int, client Client) *Crowd {
	c := &Crowd{address: address, left: make(chan struct{}), conns: make(map[net.Conn]bool)}
	for range size {
		c.clients.Go(func() { c.run(client) })
	}
	return c
}

// Leave resets all connections and waits for the end of the clients.
func (c *Crowd) Leave() {
	close(c.left)
	c.mu.Lock()
	for conn := range c.conns {
		reset(conn)
	}
	c.mu.Unlock()
	c.clients.Wait()
}

// run opens connections one after the other until the crowd leaves.
func (c *Crowd) run(client Client) {
	for {
		if conn, err := net.DialTimeout("tcp", c.address, dialTimeout); err == nil && c.keep(conn) {
			client.use(conn, c.left)
			c.forget(conn)
		}
		if client.Once {
			return
		}
		select {
		case <-c.left:
			return
		case <-time.After(redialPause):
		}
	}
}

// use sends what the client sends, and returns when the connection is closed.
func (client *Client) use(conn net.Conn, left <-chan struct{}) {
	if client.ReceiveBuffer > 0 && conn.(*net.TCPConn).SetReadBuffer(client.ReceiveBuffer) != nil {
		return
	}
	if client.Send != nil && client.Send(conn) != nil {
		return // the other side closed the connection
	}
	if !client.Reads {
		waitForClose(conn, left)
		return
	}
	buffer := make([]byte, 4<<10)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// keep counts a connection, or closes it if the crowd has left.
func (c *Crowd) keep(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.left:
		reset(conn)
		return false
	default:
		c.conns[conn] = true
		return true
	}
}

func (c *Crowd) forget(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	reset(conn)
}

// reset closes a connection without leaving its port in TIME_WAIT.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a connection that is closed
	_ = conn.Close()
}
