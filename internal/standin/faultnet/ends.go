package faultnet

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Breaks are ways in which one side ends a connection, by name.
var Breaks = map[string]func(net.Conn){
	"closed": func(c net.Conn) { _ = c.Close() },
	"reset":  Reset,
}

// Ends are Breaks and a side that is silent until the other one closes the connection.
var Ends = map[string]func(net.Conn){
	"closed": Breaks["closed"],
	"reset":  Breaks["reset"],
	"silent": func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
}

// AnswerWith answers the first request of each connection with bytes as they are and then ends
// the connection, until the listener is closed.
func AnswerWith(l net.Listener, sent string, end func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, sent)
				end(c)
			}
		}()
	}
}
