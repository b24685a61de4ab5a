package main

import (
	"fmt"
	"time"
)

func init() { cases["leaving"] = playLeaving }

const (
	// letterEvents and letterInterval give a stream of 4 s, which outlasts the time for which a leaving
	// server goes on serving.
	letterEvents   = 80
	letterInterval = 50 * time.Millisecond
	// pastDrain is the little by which a server outlasts its drain time.
	pastDrain = 200 * time.Millisecond
	releases  = 6
)

// playLeaving replaces servers one after the other while they send streams that end with their
// connections.
func playLeaving(d *deployment) (bool, error) {
	started := 0
	start := func() (*serverProcess, error) {
		started++
		return d.startServer(fmt.Sprintf("i-%d", started), "huvo11a",
			"-unmarked", "/letters/", "-events", fmt.Sprint(letterEvents), "-interval", letterInterval.String())
	}
	var serving []*serverProcess
	for range 4 {
		s, err := start()
		if err != nil {
			return false, err
		}
		serving = append(serving, s)
	}
	d.store.put("op/config", configOf(7, []string{"huvo11a"}, routeOf("letters", "/letters/", "huvo11a")))
	if err := d.startInstances(7); err != nil {
		return false, err
	}
	letters := d.startTraffic(5, func() request { return streamRequest("/letters/2f", 8*time.Second) })
	time.Sleep(6 * time.Second)
	for range releases {
		if !d.trouble {
			time.Sleep(6 * time.Second)
			continue
		}
		fresh, err := start()
		if err != nil {
			return false, err
		}
		old := serving[0]
		serving = append(serving[1:], fresh)
		old.setState("draining")
		d.record.printf("server %s reports draining", old.id)
		time.Sleep(drainTime + pastDrain)
		old.kill()
		old.setState("")
		d.record.printf("server %s has left", old.id)
		time.Sleep(6*time.Second - drainTime - pastDrain)
	}
	return d.judgeStreams(letters.end()), nil
}

// judgeStreams judges ORDER: a stream that ends as complete has all its events.
func (d *deployment) judgeStreams(answers []*answer) bool {
	short, cut, whole := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.status != 200:
		case a.err != nil:
			cut++
		case a.events() < letterEvents:
			short++
			d.record.printf("looks complete: %s by %s, framing %s, %d of %d events, no error", a.id, a.instance, a.framing, a.events(), letterEvents)
		default:
			whole++
		}
	}
	d.record.printf("%d streams: %d whole, %d broken off, %d too short that look complete", len(answers), whole, cut, short)
	return short > 0
}
