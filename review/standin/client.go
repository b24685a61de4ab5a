package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	hostName  = "service.example"
	tenantKey = "k2ctnfzs989anu6wsjnb"
)

// attempt is one request of a client and what became of it.
type attempt struct {
	id, route, relay string
	sent             time.Time
	took             time.Duration
	status           int
	seal             string
	reason           string // body of an answer without a seal
	err              error
	whole            bool
}

// client sends requests one after another on a connection that it keeps.
type client struct {
	d     *deployment
	relay *relayProcess
	conn  net.Conn
	in    *bufio.Reader
	rate  int // bytes sent a second; 0 for no bound
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// resolve asks a directory where to connect.
func (d *deployment) resolve(r *relayProcess) (addresses []string, err error) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + r.port["directory"] + "/basilrudder/resolve?" + url.Values{"name": {hostName}, "region": {"region"}, "zone": {zones[0]}}.Encode())
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var out struct {
		Addresses []string `json:"addresses"`
	}
	err = json.NewDecoder(resp.Body).Decode(&out)
	return out.Addresses, err
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends one request and waits for its answer. header holds further header lines.
func (c *client) send(method, path, header string, body []byte, deadline time.Duration) *attempt {
	a := &attempt{id: newID(), route: path, relay: c.relay.name, sent: time.Now()}
	if c.conn == nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		conn, err := new(net.Dialer).DialContext(ctx, "tcp4", c.relay.port["callers"])
		cancel()
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	a.sent = time.Now()
	c.conn.SetDeadline(a.sent.Add(deadline))
	head := method + " " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nAttempt-Id: " + a.id + "\r\nDeadline-Ms: " +
		strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\nAuthorization: Token " + tenantKey + "\r\n" + header
	if method != "GET" {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	a.err = c.exchange(a, append([]byte(head+"\r\n"), body...), method)
	a.took = time.Since(a.sent)
	if a.err != nil {
		c.close()
	}
	return a
}

func (c *client) exchange(a *attempt, request []byte, method string) error {
	for len(request) > 0 {
		n := len(request)
		if c.rate > 0 {
			n = min(n, c.rate/50)
		}
		if _, err := c.conn.Write(request[:n]); err != nil {
			return err
		}
		if request = request[n:]; len(request) > 0 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return err
	}
	a.status, a.seal = resp.StatusCode, resp.Header.Get("Server-Seal")
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	a.whole = true
	if a.seal == "" {
		a.reason = string(text)
	}
	if resp.Close {
		c.close()
	}
	return nil
}

// tellAttempt writes what became of an attempt to the record.
func (d *deployment) tellAttempt(a *attempt) {
	if a.err != nil {
		d.tell("client: %s %s at %s: no whole answer after %d ms (status %d): %v", a.id, a.route, a.relay, a.took.Milliseconds(), a.status, a.err)
		return
	}
	d.tell("client: %s %s at %s: %d after %d ms, seal %q, %.40q", a.id, a.route, a.relay, a.status, a.took.Milliseconds(), a.seal, a.reason)
}
