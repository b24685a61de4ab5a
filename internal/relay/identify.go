package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/answerend"
	"basilrudder/internal/netconn"
)

// identifyTimeout bounds the wait for a server's reply on a probe's connection. The caller of
// an answer without a mark waits for it; longer ones come from servers that are stuck.
const identifyTimeout = 100 * time.Millisecond

// identifier returns a function that asks which server accepted a connection.
func identifier(protocol Protocol) func(Target) Identify {
	return func(target Target) Identify {
		h := make(http.Header)
		path := protocol.Identify(h, target.ID)
		if path == "" {
			return AnyServer
		}
		h.Set("Connection", "close")
		head := requestHead(http.MethodGet, path, target.Address, h, nil, false)
		return func(c net.Conn) answerend.Probe { return identify(c, head, target.ID, protocol) }
	}
}

func identify(c net.Conn, head []byte, server string, protocol Protocol) answerend.Probe {
	if err := c.SetDeadline(time.Now().Add(identifyTimeout)); err != nil {
		return answerend.Unidentified
	}
	_, err := c.Write(head)
	if err != nil {
		return unidentified(err)
	}
	limit := &netconn.LimitedReader{R: c}
	limit.SetLimit(maxAnswerHead)
	resp, err := http.ReadResponse(bufio.NewReader(limit), &http.Request{Method: http.MethodGet})
	if err != nil {
		return unidentified(limit.EndLimit(err))
	}
	answerer := protocol.Answer(resp.StatusCode, resp.Header).Server
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest, answerer != "" && answerer != server:
		return answerend.Replaced
	case answerer == server, resp.StatusCode < http.StatusInternalServerError:
		return answerend.Identified
	default:
		// A proxy may have replied.
		return answerend.Unidentified
	}
}

// unidentified returns what a connection shows that was accepted and got no reply.
func unidentified(err error) answerend.Probe {
	for _, ended := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, ended) {
			return answerend.Dropped
		}
	}
	return answerend.Unidentified
}
