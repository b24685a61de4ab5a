package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"basilrudder/internal/answerend"
	"basilrudder/internal/netconn"
	"basilrudder/internal/servers"
)

// identifyTimeout bounds the wait for a server's reply on a probe's connection. The caller of
// an answer without a mark waits for it; longer ones come from servers that are stuck.
const identifyTimeout = 100 * time.Millisecond

// maxIdentity bounds a server's reply on a probe's connection, in bytes.
const maxIdentity = 64 << 10

// identifier returns a function that asks which server accepted a connection.
func identifier(protocol Protocol, log *zap.Logger) func(Target) Identify {
	return func(target Target) Identify {
		h := make(http.Header)
		path := protocol.Identify(h, target.Name)
		if path == "" {
			return AnyServer
		}
		h.Set("Connection", "close")
		head := requestHead(http.MethodGet, path, target.Address, h, nil, false)
		return func(c net.Conn) answerend.Probe {
			status, who, err := askIdentity(c, head, protocol)
			if err != nil {
				return unidentified(err)
			}
			found := identified(status, who, &target.Server)
			if found == answerend.Replaced {
				log.Info("server_replaced", zap.String("server", target.ID), zap.Int("status", status),
					zap.String("name", string(who.Name)), zap.Int64("born", who.Born))
			}
			return found
		}
	}
}

// askIdentity sends a request and returns the status of the reply and who sent it.
func askIdentity(c net.Conn, head []byte, protocol Protocol) (status int, who Identity, err error) {
	if err := c.SetDeadline(time.Now().Add(identifyTimeout)); err != nil {
		return 0, who, err
	}
	if _, err := c.Write(head); err != nil {
		return 0, who, err
	}
	limit := &netconn.LimitedReader{R: c}
	limit.SetLimit(maxIdentity)
	resp, err := http.ReadResponse(bufio.NewReader(limit), &http.Request{Method: http.MethodGet})
	if err != nil {
		return 0, who, limit.EndLimit(err)
	}
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, protocol.Identity(resp.Header, body), limit.EndLimit(err)
}

// identified returns what a reply shows of a server. One that started again under its name is
// another process.
func identified(status int, who Identity, server *servers.Server) answerend.Probe {
	switch {
	case who.Name != "" && who.Name != server.Name, who.Born != 0 && server.Born != 0 && who.Born != server.Born:
		return answerend.Replaced
	case who.Name == server.Name:
		return answerend.Identified
	case status == http.StatusMisdirectedRequest:
		return answerend.Replaced
	case status < http.StatusInternalServerError:
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
