package main

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/go-faster/errors"
)

// Ports of instances are taken from below those that the system gives to outgoing
// connections: one of those could take a port while its instance is restarted.
const (
	firstPort = 10_000
	blockSize = 1500
	blocks    = 13
)

// ports hands out the ports of a block that no other soak on this machine uses:
// whoever holds the block's first port holds the block.
type ports struct {
	held net.Listener
	last int
}

func newPorts() (*ports, error) {
	for _, block := range rand.Perm(blocks) {
		first := firstPort + block*blockSize
		if held, err := net.Listen("tcp", loopback(first)); err == nil {
			return &ports{held: held, last: first}, nil
		}
	}
	return nil, errors.Errorf("all %d blocks of ports are in use", blocks)
}

// next returns the next address of the block that is free.
func (p *ports) next() (string, error) {
	first := p.held.Addr().(*net.TCPAddr).Port
	for p.last++; p.last < first+blockSize; p.last++ {
		if ln, err := net.Listen("tcp", loopback(p.last)); err == nil {
			return loopback(p.last), ln.Close()
		}
	}
	return "", errors.Errorf("the ports from %d on are all in use", first)
}

func (p *ports) close() {
	_ = p.held.Close() // nothing else is done with it
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
