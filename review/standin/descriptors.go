package main

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// maxFDs is the number of descriptors that the platform gives a process.
const maxFDs = 4100

// limitDescriptors bounds the descriptors of a process, as the platform does.
func limitDescriptors(pid int) error {
	limit := syscall.Rlimit{Cur: maxFDs, Max: maxFDs}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// user is someone who sends a request now and then on a connection that stays open.
type user struct {
	client
	requests int // sent on the connection
}

func init() { cases["descriptors"] = descriptors }

// descriptors: many users come at once.
func descriptors(d *deployment, trouble bool) (int, error) {
	const (
		relays, servers, slots = 2, 5, 6
		users                  = 1950 // of an instance
		cycle                  = 11 * time.Second
		deadline               = 3 * time.Second
		warm, length           = 14 * time.Second, 45 * time.Second
		// doses of the disruption
		burst = 2.1
		lasts = 9 * time.Second
	)
	d.putConfig([]map[string]any{route("alertping", "unsafe", "desk", 1, 1500, 300, nil)}, []map[string]any{plainService("desk")})
	if _, err := d.startServers("desk", servers, slots, "24", "60"); err != nil {
		return failed, err
	}
	if err := d.prepareRelays(relays, 54); err != nil {
		return failed, err
	}
	if err := d.startRelays(); err != nil {
		return failed, err
	}
	stop := make(chan struct{})
	var exits atomic.Int64
	for _, r := range d.relays {
		if err := limitDescriptors(r.cmd.Process.Pid); err != nil {
			return failed, err
		}
		go d.platform(r, &exits, stop)
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var lost []*attempt
	counts := map[string]int{}
	note := func(u *user, a *attempt) {
		text := fmt.Sprint(a.status)
		switch {
		case a.status == 0 && u.requests <= 1 && !errors.Is(a.err, syscall.ECONNREFUSED):
			text = "none, new connection"
		case errors.Is(a.err, syscall.ECONNREFUSED):
			text = "refused connection"
		case a.status == 0:
			text = "none, kept connection"
		}
		mu.Lock()
		defer mu.Unlock()
		counts[text]++
		var timeout net.Error
		if a.status == 0 && u.requests > 1 && !(errors.As(a.err, &timeout) && timeout.Timeout()) {
			lost = append(lost, a)
		}
	}
	begun := time.Now()
	end := begun.Add(length)
	var all sync.WaitGroup
	// arrive has users come evenly over a span and stay until an instant.
	arrive := func(n int, over time.Duration, until time.Time) {
		for _, r := range d.relays {
			for i := range n {
				all.Go(func() {
					time.Sleep(over * time.Duration(i) / time.Duration(n))
					u := &user{client: client{d: d, relay: r}}
					defer u.close()
					for time.Now().Before(until) {
						if u.conn == nil {
							u.requests = 0
							if _, err := d.resolve(r); err != nil {
								d.tell("client: the directory of %s: %v", r.name, err)
							}
						}
						u.requests++
						a := u.send("POST", "/alertping/2f", "", []byte("alert"), deadline)
						d.tellAttempt(a)
						note(u, a)
						time.Sleep(min(cycle, max(0, time.Until(until))))
					}
				})
			}
		}
	}
	arrive(users, cycle, end)
	if trouble {
		all.Go(func() {
			time.Sleep(warm)
			d.tell("disruption: %.1f times the users for %v", burst, lasts)
			extra := burst - 1
			arrive(int(extra*users), 3*time.Second, time.Now().Add(lasts))
		})
	}
	time.Sleep(length)
	all.Wait()
	close(stop)
	d.saveLogs("Permanent error", "\"stopped\"", "basilrudderd:")
	passedOn := 0
	for _, a := range lost {
		if d.runsOf(a.id) > 0 {
			passedOn++
			d.tell("LOST: %s on a kept connection to %s ran, and its connection ended without an answer", a.id, a.relay)
		}
	}
	d.say("answers %v; %d processes ended by themselves; %d requests on kept connections ran and got no answer, 3 are allowed", counts, exits.Load(), passedOn)
	if passedOn > 3 {
		d.say("LOST: broken")
		return broken, nil
	}
	return held, nil
}

// platform asks an instance every second whether it is ready, and starts it again shortly
// after it ended.
func (d *deployment) platform(r *relayProcess, exits *atomic.Int64, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-r.done:
			exits.Add(1)
			d.tell("platform: %s ended by itself: %v", r.name, r.cmd.ProcessState)
			time.Sleep(time.Second)
			if err := d.startRelay(r); err != nil {
				d.tell("platform: %v", err)
				return
			}
			time.Sleep(50 * time.Millisecond)
			if err := limitDescriptors(r.cmd.Process.Pid); err != nil {
				d.tell("platform: %v", err)
			}
		case <-time.After(time.Second):
			if !r.ready() {
				d.tell("platform: %s is not ready", r.name)
			}
		}
	}
}
