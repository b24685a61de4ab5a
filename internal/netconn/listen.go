package netconn

import (
	"context"
	"net"
	"syscall"
)

// receiveBuffer is the size of the receive buffer of accepted connections in bytes. What clients send
// and nobody reads counts as memory of the process; the system's default grows with the sender.
const receiveBuffer = 16 << 10

// ListenClients listens for connections of clients, whose unread bytes are bounded.
func ListenClients(network, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(setReceiveBuffer)
	}}
	return config.Listen(context.Background(), network, address)
}

// setReceiveBuffer sets the buffer of a listening socket, which accepted ones inherit.
func setReceiveBuffer(fd uintptr) {
	// With the system's default more may wait unread; that is no reason not to listen.
	_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
}
