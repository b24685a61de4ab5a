package main

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"basilrudder/platform/standin"
)

// Callers send requests on connections that they keep while instances are
// killed, frozen and restarted, links are cut and servers come and go. No caller
// is told that a request has not run that a server ran, none runs twice that may
// not, no answer is another's, and when the faults are over all is served.
func TestPromisesHoldInAShortSoak(t *testing.T) {
	binary, err := build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	s := &soak{
		sizes: sizes{length: 4 * time.Second, instances: 3, servers: 4, callers: 8},
		seed:  7, binary: binary,
	}
	r, err := s.run(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if len(r.broken) > 0 || r.byOutcome["served"] == 0 {
		t.Error(r)
	}
}

// Guards against requests that go on crashing servers by a part while faults come.
func TestCrashingPartsAreStoppedInAShortSoak(t *testing.T) {
	binary, err := build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	s := &soak{
		sizes: sizes{length: 10 * time.Second, instances: 3, servers: 8, callers: 8},
		seed:  7, binary: binary, poisoned: true,
	}
	r, err := s.run(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if len(r.broken) > 0 || r.arrivals == 0 || r.byOutcome["served"] == 0 {
		t.Error(r)
	}
	t.Log(r)
}

func TestRegressionsCanBeRead(t *testing.T) {
	cases, err := readCases("cases.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		if c.seed == 0 || c.length == 0 || c.instances == 0 || c.servers == 0 || c.callers == 0 || c.cause == "" {
			t.Errorf("incomplete: %+v", c)
		}
	}
}

// A check that never fails proves nothing: requests that ran where the caller was
// told otherwise, ran twice, or got another's answer must be noticed.
func TestBrokenPromisesAreNoticed(t *testing.T) {
	for name, a := range map[string]*attempt{
		"not run, and ran": {id: "ran-once", route: "unsafe", status: 503},
		"ran twice":        {id: "ran-twice", route: "unsafe", status: 502},
		"three times":      {id: "ran-thrice", route: "safe", status: 200},
		"another's answer": {id: "ran-once", route: "safe", status: 200, wrong: "the answer to x"},
		"never ran":        {id: "never-ran", route: "safe", status: 200},
		"unknown key":      {id: "ran-once", route: "safe", status: 200, unknownKey: true},
		"known key":        {id: "never-ran", route: "safe", status: 401},
		"too late":         {id: "never-ran", route: "safe", calm: true, took: time.Minute},
		"key shown":        {id: "key-shown", route: "safe", status: 200},
		"other customer":   {id: "for-another", route: "safe", status: 200},
	} {
		s := &soak{timing: true, fleet: &fleet{ledger: ledgerOfRuns()}}
		s.check(&caller{attempts: []*attempt{a}}, &report{byOutcome: make(map[string]int)})
		if len(s.breaches) != 1 {
			t.Errorf("%s: %q", name, s.breaches)
		}
	}
}

func TestKeptPromisesAreNotTakenForBroken(t *testing.T) {
	s := &soak{timing: true, fleet: &fleet{ledger: ledgerOfRuns()}}
	s.check(&caller{attempts: []*attempt{
		{id: "ran-once", route: "unsafe", status: 200},
		{id: "ran-once", route: "unsafe", status: 502},
		{id: "ran-twice", route: "resumable", status: 200},
		{id: "never-ran", route: "unsafe", status: 503},
		{id: "never-ran", route: "stream", status: 401, unknownKey: true},
		{id: "never-ran", route: "stream", took: time.Minute},
	}}, &report{byOutcome: make(map[string]int)})
	if len(s.breaches) > 0 {
		t.Error(s.breaches)
	}
}

func ledgerOfRuns() *standin.Ledger {
	l := standin.NewLedger()
	once := standin.Run{Server: "s", Customer: customerName}
	for id, times := range map[string]int{"ran-once": 1, "ran-twice": 2, "ran-thrice": 3} {
		for range times {
			l.Add(id, once)
		}
	}
	l.Add("key-shown", standin.Run{Customer: customerName, KeyReceived: true})
	l.Add("for-another", standin.Run{Customer: "other"})
	return l
}

// A silent link lets nothing through and closes nothing; when it heals, what was
// held arrives. A refusing one resets at once.
func TestAProxyHoldsAndResets(t *testing.T) {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
		}
	}()
	p, err := newProxy(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	conn, err := net.Dial("tcp", p.address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, m := range []mode{delaying, silent, cutUp, cutDown} {
		p.set(m)
		if _, err := io.WriteString(conn, "hello"); err != nil {
			t.Fatal(m, err)
		}
		p.set(passing)
		echo := make([]byte, len("hello"))
		if _, err := io.ReadFull(conn, echo); err != nil || string(echo) != "hello" {
			t.Errorf("%v: %q %v", m, echo, err)
		}
	}
	p.set(refusing)
	if _, err := io.ReadAll(conn); err == nil || !strings.Contains(err.Error(), "reset") {
		t.Errorf("refusing: %v", err)
	}
}
