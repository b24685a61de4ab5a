package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"basilrudder/internal/answerend"
	"basilrudder/internal/descriptors"
	"basilrudder/internal/netconn"
	"basilrudder/internal/servers"
)

// asServer is set in the environment of the processes that run serveParts in place of the
// tests, to the bytes that they answer with.
const asServer = "BASILRUDDER_TEST_SERVER_ANSWER"

func TestMain(m *testing.M) {
	if answer := os.Getenv(asServer); answer != "" {
		if err := serveParts(answer); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// serveParts prints its address, answers each request in part and prints a line for each; it
// does not end by itself.
func serveParts(answer string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	for {
		c, err := listener.Accept()
		if err != nil {
			return err
		}
		go func() {
			in := bufio.NewReader(c)
			for line := "-"; line != "\r\n"; {
				if line, err = in.ReadString('\n'); err != nil {
					return
				}
			}
			if _, err := io.WriteString(c, answer); err == nil {
				fmt.Println("sent")
			}
			_, _ = io.Copy(io.Discard, in)
		}()
	}
}

// Guards against part of an answer that looks whole since the kernel closes the connections of a killed server in order.
func TestAnswersOfAKilledServerDoNotLookWhole(t *testing.T) {
	testKilledServer(t, false)
}

// Guards against part of an answer that looks whole since its server had announced that it leaves before its process ended.
func TestAnswersOfALeavingServerThatEndsDoNotLookWhole(t *testing.T) {
	testKilledServer(t, true)
}

// testKilledServer plays a server process that is killed after a part of its answer.
func testKilledServer(t *testing.T, leaving bool) {
	t.Helper()
	part := events(1, 2)
	for _, c := range []struct {
		path, head, part string
		second           script
		want             seen
	}{
		{"/stream/", closeStreamHead, part, nil, seen{status: 200, broken: true}},
		{"/resumable/", closeStreamHead, part, replying(streamHead + chunk(events(3, 5)) + lastChunk), seen{200, framingClose, events(1, 5), false}},
		{"/resumable/", closeStreamHead, part, replying(streamHead + lastChunk), seen{200, framingClose, part, false}},
		{"/resumable/", closeStreamHead, part, nil, seen{status: 200, broken: true}},
		{"/once/", closePlainHead, "{", nil, seen{502, framingLength, "upstream_lost\n", false}},
		{"/again/", closePlainHead, "{", replying(answer("r", 200, "", "{}")), seen{200, framingLength, "{}", false}},
	} {
		t.Run(c.path, func(t *testing.T) {
			scripts := map[string][]script{}
			if c.second != nil {
				scripts["s2"] = []script{c.second}
			}
			b := newRig(t, allRoutes, scripts, "s1", "s2")
			b.sockets = true
			b.fleet.leaving = map[string]bool{"s1": leaving}
			server := exec.Command(os.Args[0])
			server.Env = append(os.Environ(), asServer+"="+c.head+c.part)
			out, err := server.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := server.Start(); err != nil {
				t.Fatal(err)
			}
			lines := bufio.NewScanner(out)
			lines.Scan()
			address := lines.Text()
			b.relay = New(Config{Fleet: b.fleet, Protocol: plainProtocol{}, ResetOnClose: resetOnClose, Dial: func(ctx context.Context, to string) (net.Conn, error) {
				if to == "s1" {
					return new(net.Dialer).DialContext(ctx, "tcp", address)
				}
				return b.dial(ctx, to)
			}})
			b.running.Go(func() {
				lines.Scan()
				_ = server.Process.Kill()
				_ = server.Wait()
			})
			got := b.call("1.1", "POST", c.path)
			b.close()
			if c.want.broken {
				got.framing, got.body = "", ""
			}
			if got != c.want {
				t.Errorf("got %q, want %q", fmt.Sprint(got), fmt.Sprint(c.want))
			}
		})
	}
}

// Guards against a new connection for each whole answer of a server whose other connections stay open.
func TestAnOpenConnectionShowsThatTheServerLives(t *testing.T) {
	b := newRig(t, allRoutes, map[string][]script{"s1": {
		replying(answer("r", 200, "", "{}")), sendThenClose(closeStreamHead, events(1, 5)),
	}}, "s1")
	b.sockets = true
	b.call("1.1", "POST", "/once/")
	busy := b.relay.pool.takeIdle(Target{Server: servers.Server{ID: "s1"}}, nil)
	got := b.call("1.1", "POST", "/stream/")
	ends := b.relay.cfg.Metrics.ends.String()
	b.relay.pool.discard(busy)
	b.close()
	if want := (seen{200, framingClose, events(1, 5), false}); got != want {
		t.Errorf("got %q", fmt.Sprint(got))
	}
	if want := `{"whole: other connections stayed open": 1}`; ends != want {
		t.Errorf("ends: %s", ends)
	}
}

// identifyingProtocol has servers that can be asked which one they are.
type identifyingProtocol struct{ plainProtocol }

func (identifyingProtocol) Identify(h http.Header, server servers.Name) (path string) {
	h.Set("X-Server", string(server))
	return "/who"
}

func (identifyingProtocol) Identity(h http.Header, body []byte) Identity {
	born, _ := strconv.ParseInt(string(body), 10, 64)
	return Identity{servers.Name(h.Get("X-Server")), born}
}

// endless replies with a body that does not end.
func endless(t *testing.T, c net.Conn, in *bufio.Reader) {
	readRequest(t, in)
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Server: name-of-s1\r\n\r\n")
	for piece := strings.Repeat("x", 4096); err == nil; {
		_, err = io.WriteString(c, piece)
	}
}

// Guards against trust in an address that accepts connections although the server there has ended.
func TestAnAddressThatAcceptsDoesNotShowThatTheServerLives(t *testing.T) {
	const end = "\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		probe script
		whole bool
		basis string
	}{
		"the server replies":      {replying("HTTP/1.1 200 OK" + end), true, "accepted by the server"},
		"the server names itself": {replying("HTTP/1.1 503 Full\r\nX-Server: name-of-s1" + end), true, "accepted by the server"},
		"the server checks its name": {func(t *testing.T, c net.Conn, in *bufio.Reader) {
			status := "421 Misdirected Request"
			if asked, _ := readRequest(t, in); asked.Header.Get("X-Server") == string(nameOf("s1")) {
				status = "200 OK"
			}
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+end) // fails only if the relay has gone
		}, true, "accepted by the server"},
		"the server states its start":     {replying("HTTP/1.1 200 OK\r\nX-Server: name-of-s1\r\nContent-Length: 1\r\n\r\n7"), true, "accepted by the server"},
		"the server has started again":    {replying("HTTP/1.1 200 OK\r\nX-Server: name-of-s1\r\nContent-Length: 1\r\n\r\n8"), false, "accepted by another server"},
		"the reply ends early":            {sendThenClose("HTTP/1.1 200 OK\r\nX-Server: name-of-s1\r\nContent-Length: 9\r\n\r\n7"), false, "accepted and dropped"},
		"a reply without end":             {endless, true, "accepted without a reply of the server"},
		"a proxy replies":                 {replying("HTTP/1.1 502 Bad Gateway" + end), true, "accepted without a reply of the server"},
		"no HTTP":                         {replying("no HTTP"), true, "accepted without a reply of the server"},
		"no reply":                        {unresponsive, true, "accepted without a reply of the server"},
		"the server rejects the question": {replying("HTTP/1.1 421 Misdirected Request\r\nX-Server: name-of-s1" + end), true, "accepted by the server"},
		"another server rejects":          {replying("HTTP/1.1 421 Misdirected Request" + end), false, "accepted by another server"},
		"another server replies":          {replying("HTTP/1.1 200 OK\r\nX-Server: s3" + end), false, "accepted by another server"},
		"the connection ends":             {sendThenClose(), false, "accepted and dropped"},
		"the connection is reset":         {sendThenReset(), false, "accepted and dropped"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newRig(t, allRoutes, map[string][]script{"s1": {sendThenClose(closeStreamHead, events(1, 5)), c.probe, replying()}}, "s1")
			b.sockets = true
			b.relay = New(Config{Fleet: b.fleet, Protocol: identifyingProtocol{}, Dial: b.dial, ResetOnClose: resetOnClose})
			got := b.call("1.1", "POST", "/stream/")
			ends := b.relay.cfg.Metrics.ends.String()
			b.close()
			decision := map[bool]string{true: "whole", false: "doubtful"}[c.whole]
			if want := fmt.Sprintf(`{"%s: new connection %s": 1}`, decision, c.basis); ends != want || got.broken == c.whole {
				t.Errorf("ends: %s, broken %v", ends, got.broken)
			}
		})
	}
}

// Guards against a failure to connect that is not the server's and counts as its end.
func TestOnlyARefusalOfTheOtherSideShowsAnEnd(t *testing.T) {
	for cause, refused := range map[error]bool{
		syscall.ECONNREFUSED: true, syscall.ECONNRESET: true,
		syscall.EMFILE: false, syscall.EADDRNOTAVAIL: false, syscall.EHOSTUNREACH: false, syscall.ETIMEDOUT: false, context.DeadlineExceeded: false,
	} {
		dial := func(context.Context, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", cause)}
		}
		if got := Probe(t.Context(), dial, "s1", AnyServer); (got == answerend.Refused) != refused {
			t.Errorf("%v: %s", cause, got)
		}
	}
}

// Guards against an end that counts as whole because the deadline passes while it is examined.
func TestADeadlineDoesNotMakeAnEndWhole(t *testing.T) {
	for left, during := range map[time.Duration]string{siblingDelay / 2: "the wait for siblings", siblingDelay + identifyTimeout/2: "the probe"} {
		synctest.Test(t, func(t *testing.T) {
			late := func(t *testing.T, c net.Conn, in *bufio.Reader) {
				time.Sleep(stream.Timeout - left)
				sendThenClose(closeStreamHead, events(1, 5))(t, c, in)
			}
			b := newRig(t, allRoutes, map[string][]script{"s1": {late, unresponsive, unresponsive}}, "s1")
			b.relay = New(Config{Fleet: b.fleet, Protocol: identifyingProtocol{}, Dial: b.dial})
			_, aborted := b.serve(request("POST", "/stream/", "r", "x"))
			ends := b.relay.cfg.Metrics.ends.String()
			synctest.Wait()
			time.Sleep(time.Second)
			b.close()
			if want := `{"doubtful: new connection not awaited": 1}`; ends != want || !aborted {
				t.Errorf("%s: ends: %s, aborted %v", during, ends, aborted)
			}
		})
	}
}

// Guards against an end that costs a look at each of any number of connections.
func TestTheConnectionsExaminedForAnEndAreBounded(t *testing.T) {
	p := newPool(directConnector{}, descriptors.Unlimited())
	target := Target{Server: servers.Server{ID: "s1"}}
	for range maxSiblings + 2 {
		near, far := tcpPair(t)
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = far.Close()
		defer near.Close()
		for open := true; open; open, _ = netconn.IsOpen(near) {
		}
		p.track(&conn{Conn: near, target: target})
	}
	if got, want := p.siblings(&conn{target: target}), (answerend.Siblings{Ended: maxSiblings}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
