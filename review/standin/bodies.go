package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["bodies"] = bodies }

// bodies: many users who send large bodies come at once.
func bodies(d *deployment, trouble bool) (int, error) {
	const (
		relays, servers, slots = 2, 5, 6
		size                   = 4 << 20 // within maxBodyBytes
		upload                 = 3 * time.Second
		senders, askers        = 36, 12 // of an instance
		deadline               = 15 * time.Second
		warm, length           = 12 * time.Second, 45 * time.Second
		// doses of the disruption
		burst = 2.1
		lasts = 9 * time.Second
	)
	d.putConfig([]map[string]any{
		route("bundle", "unsafe", "desk", 1, 15000, 2500, nil), route("alertping", "unsafe", "desk", 1, 1500, 300, nil),
	}, []map[string]any{plainService("desk")})
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
	var exits, peak atomic.Int64
	for _, r := range d.relays {
		go d.boundMemory(r, &exits, &peak, stop)
	}
	time.Sleep(3 * time.Second)
	body := make([]byte, size)
	var mu sync.Mutex
	var lost []*attempt
	counts := map[string]int{}
	var all sync.WaitGroup
	// run has a user send requests on a connection that stays open until an instant.
	run := func(r *relayProcess, path string, body []byte, rate int, pause time.Duration, until time.Time) {
		c := &client{d: d, relay: r, rate: rate}
		defer c.close()
		for requests := 0; time.Now().Before(until); requests++ {
			kept := c.conn != nil
			a := c.send("POST", path, "", body, deadline)
			d.tellAttempt(a)
			mu.Lock()
			counts[fmt.Sprint(path, " ", a.status)]++
			if kept && a.status == 0 && a.took < deadline {
				lost = append(lost, a)
			}
			mu.Unlock()
			if a.err != nil {
				pause = 500 * time.Millisecond
			}
			time.Sleep(pause)
		}
	}
	end := time.Now().Add(length)
	for _, r := range d.relays {
		for n := range senders {
			all.Go(func() {
				time.Sleep(upload * time.Duration(n) / senders)
				run(r, "/bundle/2f", body, int(size/upload.Seconds()), 0, end)
			})
		}
		for range askers {
			all.Go(func() { run(r, "/alertping/2f", []byte("alert"), 0, 100*time.Millisecond, end) })
		}
	}
	if trouble {
		time.Sleep(warm)
		d.tell("disruption: %.1f times the users who send large bodies, for %v", burst, lasts)
		until := time.Now().Add(lasts)
		more := burst - 1
		for _, r := range d.relays {
			for range int(more * senders) {
				all.Go(func() { run(r, "/bundle/2f", body, int(size/upload.Seconds()), 0, until) })
			}
		}
	}
	all.Wait()
	close(stop)
	passedOn := 0
	for _, a := range lost {
		if d.runsOf(a.id) > 0 {
			passedOn++
			d.tell("LOST: %s on a kept connection to %s ran, and its connection ended without an answer", a.id, a.relay)
		}
	}
	d.say("answers %v; most memory of a process %d of %d MB; %d processes ended for it; %d requests on kept connections ran and got no answer, 3 are allowed",
		counts, peak.Load(), memoryMB, exits.Load(), passedOn)
	if passedOn > 3 {
		d.say("LOST: broken")
		return broken, nil
	}
	return held, nil
}

// boundMemory kills an instance that exceeds the memory of its machine, as the platform
// does, and starts it again shortly after.
func (d *deployment) boundMemory(r *relayProcess, exits, peak *atomic.Int64, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := int64(residentMB(r.cmd.Process.Pid))
		peak.Store(max(peak.Load(), used))
		if used <= memoryMB {
			continue
		}
		d.tell("platform: %s uses %d MB of %d and is killed", r.name, used, memoryMB)
		exits.Add(1)
		r.cmd.Process.Kill()
		<-r.done
		time.Sleep(time.Second)
		if err := d.startRelay(r); err != nil {
			d.tell("platform: %v", err)
			return
		}
	}
}

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}
