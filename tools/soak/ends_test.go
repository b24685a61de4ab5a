package main

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/standin/faultnet"
	"basilrudder/platform/standin"
	"basilrudder/platform/wire"
)

// Guards against parts of answers that look whole because their instance was killed.
func TestNoPartIsTakenForWholeWhenInstancesEnd(t *testing.T) { soakEnds(t, instanceEnds) }

// Guards against parts of answers that look whole because their server's process ended.
func TestNoPartIsTakenForWholeWhenServersEnd(t *testing.T) { soakEnds(t, serverEnds) }

func soakEnds(t *testing.T, e ends) {
	t.Helper()
	binary, err := build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	s := &soak{
		sizes: sizes{length: 4 * time.Second, instances: 3, servers: 4, callers: 12},
		seed:  7, binary: binary, ends: e,
	}
	r, err := s.run(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if len(r.broken) > 0 || r.byOutcome["served"] == 0 {
		t.Error(r)
	}
}

// Guards against a check of streams that takes a part for the whole, or a break for a wrong event.
func TestPartsOfStreamsAreNoticed(t *testing.T) {
	var whole strings.Builder
	if err := faultlessStream(&whole); err != nil {
		t.Fatal(err)
	}
	text := whole.String()
	for length := range len(text) + 1 {
		ended, broken := &attempt{id: "x"}, &attempt{id: "x"}
		ended.readStream(strings.NewReader(text[:length]))
		broken.readStream(io.MultiReader(strings.NewReader(text[:length]), failingReader{}))
		if isWhole := length == len(text); isWhole != (ended.wrong == "") || ended.err != nil {
			t.Errorf("an end after %d of %d bytes: %q, %v", length, len(text), ended.wrong, ended.err)
		}
		if broken.wrong != "" || !errors.Is(broken.err, syscall.ECONNRESET) {
			t.Errorf("a reset after %d bytes: %q, %v", length, broken.wrong, broken.err)
		}
	}
}

// faultlessStream writes the stream of request x as a server sends it.
func faultlessStream(to io.Writer) error {
	server := httptest.NewServer(standin.NewServer("s", 1, standin.NewLedger()))
	defer server.Close()
	r, err := http.NewRequest(http.MethodPost, server.URL, http.NoBody)
	if err != nil {
		return err
	}
	r.Header.Set(wire.HeaderID, "x")
	r.Header.Set(wire.HeaderTokens, "1,1")
	answer, err := server.Client().Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	_, err = io.Copy(to, answer.Body)
	return err
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, syscall.ECONNRESET }

// Guards against a soak in which some kind of caller is missing.
func TestCallersOfBothVersionsReadQuicklyAndSlowly(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto+strings.Repeat(" ", slowPiece))
	}))
	defer server.Close()
	for number, want := range []string{"HTTP/1.1", "HTTP/1.0", "HTTP/1.1", "HTTP/1.0"} {
		transport := allEnds.transport(number)
		answer, err := (&http.Client{Transport: transport}).Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(answer.Body)
		if err != nil || strings.TrimSpace(string(text)) != want {
			t.Errorf("caller %d: %q, %v", number, text, err)
		}
		_ = answer.Body.Close()
		transport.CloseIdleConnections()
	}
}

// Guards against a proxy that turns a reset into an orderly end, or an orderly end into a reset.
func TestAProxyPassesOnHowAConnectionEnds(t *testing.T) {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	p, err := newProxy(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	for name, c := range map[string]struct{ halfClosed, reset bool }{
		"end": {}, "reset": {reset: true},
		"end of a half-closed one": {halfClosed: true}, "reset of a half-closed one": {halfClosed: true, reset: true},
	} {
		near, err := net.Dial("tcp", p.address())
		if err != nil {
			t.Fatal(err)
		}
		far, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if c.halfClosed {
			_ = near.(*net.TCPConn).CloseWrite()
			if _, err := io.ReadAll(far); err != nil {
				t.Errorf("%s: half-closing: %v", name, err)
			}
		}
		if _, err := io.WriteString(far, "part"); err != nil {
			t.Fatal(err)
		}
		part := make([]byte, len("part"))
		if _, err := io.ReadFull(near, part); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if c.reset {
			faultnet.Reset(far)
		} else {
			_ = far.Close()
		}
		if _, err := io.ReadAll(near); errors.Is(err, syscall.ECONNRESET) != c.reset || !c.reset && err != nil {
			t.Errorf("%s: %v", name, err)
		}
		_ = near.Close()
	}
}
