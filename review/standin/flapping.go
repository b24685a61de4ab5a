package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["flapping"] = flapping }

// flapping: some servers go down and up by turns, under prompts that share their first part.
func flapping(d *deployment, trouble bool) (int, error) {
	const (
		relays, servers, slots = 3, 20, 16
		rate                   = 66 // requests a second
		events, interval       = "86", "45"
		warm, length           = 10 * time.Second, 30 * time.Second
		// doses of the disruption
		flapping = 3
		period   = 900 * time.Millisecond
		lasts    = 6500 * time.Millisecond
	)
	d.putConfig([]map[string]any{route("sealnote", "streaming", "draftmodel", 1, 15000, 500, map[string]any{"sticky": true, "itlTargetMs": 120})},
		[]map[string]any{modelService("draftmodel", slots)})
	list, err := d.startServers("draftmodel", servers, slots, "134", "0", "120", events, interval)
	if err != nil {
		return failed, err
	}
	if err := d.prepareRelays(relays, 56); err != nil {
		return failed, err
	}
	if err := d.startRelays(); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var attempts []*attempt
	var all sync.WaitGroup
	begun := time.Now()
	if trouble {
		all.Go(func() {
			time.Sleep(warm)
			d.tell("disruption: %d of %d servers go down and up, period %v", flapping, servers, period)
			var flaps sync.WaitGroup
			for i, n := range rand.Perm(servers)[:flapping] {
				flaps.Go(func() { d.flap(list[n], period*time.Duration(i)/flapping, period, lasts) })
			}
			flaps.Wait()
			d.tell("disruption: over")
		})
	}
	for n := 0; time.Since(begun) < length; n++ {
		all.Go(func() {
			c := &client{d: d, relay: d.relays[n%relays]}
			defer c.close()
			id := newID()
			header := "Model: m\r\nToken-Usage: 1460,172\r\nPrefix-Hash: 5c1e07a2:350," + id[:8] + ":1110\r\n"
			a := c.send("POST", "/sealnote/2f", header, []byte("note "+id), 15*time.Second)
			d.tellAttempt(a)
			mu.Lock()
			attempts = append(attempts, a)
			mu.Unlock()
		})
		time.Sleep(time.Until(begun.Add(time.Duration(n+1) * time.Second / rate)))
	}
	all.Wait()
	d.saveLogs("request_crashes_servers", "request_refused_as_poison", "crashes_cleared")
	counts, denied := map[string]int{}, 0
	for _, a := range attempts {
		text := fmt.Sprint(a.status)
		if a.err != nil {
			text = "cut"
		}
		counts[text]++
		if a.whole && a.seal == "" && a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
		}
	}
	allowed := 5 + len(attempts)/500
	d.say("%d requests, answers %v; %d proper ones ended with a 4xx of the instances' own, %d are allowed", len(attempts), counts, denied, allowed)
	if denied > allowed {
		d.say("DENIED: broken")
		return broken, nil
	}
	return held, nil
}

// flap has a server go down and up by turns, for some time. Each start is a new incarnation.
func (d *deployment) flap(s *serverProcess, after, period, lasts time.Duration) {
	time.Sleep(after)
	name := s.id
	for n, begun := 1, time.Now(); time.Since(begun) < lasts; n++ {
		d.crash(s)
		time.Sleep(period / 2)
		s = &serverProcess{id: fmt.Sprintf("%s-%d", name, n+1), service: s.service, zone: s.zone, address: s.address, slots: s.slots, args: s.args}
		if err := d.startServer(s); err != nil {
			d.tell("%v", err)
			return
		}
		time.Sleep(period / 2)
	}
}
