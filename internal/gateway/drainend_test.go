package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a whole answer whose last bytes are lost at the end of a drain.
func TestADrainEndsAfterTheLastBytesOfAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })}
		listener := &pipeListener{conns: make(chan net.Conn, 1)}
		listener.conns <- far
		go func() { _ = server.Serve(listener) }()
		_, _ = io.WriteString(near, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		synctest.Wait() // the handler has returned, and nothing was sent
		var drained sync.WaitGroup
		defer drained.Wait()
		drained.Go(func() {
			completeAnswers(server)
			_ = server.Close()
		})
		time.Sleep(maxCompletion / 2)
		response, err := http.ReadResponse(bufio.NewReader(near), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); string(body) != "whole" || err != nil {
			t.Errorf("%q, %v", body, err)
		}
	})
}

// pipeListener accepts connections from a channel.
type pipeListener struct {
	conns chan net.Conn
	close sync.Once
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.close.Do(func() { close(l.conns) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
