package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

func init() { cases["released"] = playReleased }

const (
	replacements   = 8
	betweenReplace = 5 * time.Second
)

// lookupRequest returns a safe request without a body. All clients of a tenant ask for the same.
func lookupRequest() request {
	return request{method: http.MethodGet, path: "/lookups/2f", deadline: 3 * time.Second}
}

// playReleased replaces the servers of a service one after the other. They end their answers with their
// connections, and leave without a report that they drain.
func playReleased(d *deployment) (bool, error) {
	d.born = os.Getenv("BORN") != "0"
	started := 0
	start := func() (*serverProcess, error) {
		started++
		return d.startServer(fmt.Sprintf("i-%d", started), "wuno96b", "-unmarked", "/lookups/")
	}
	var serving []*serverProcess
	for range 4 {
		s, err := start()
		if err != nil {
			return false, err
		}
		serving = append(serving, s)
	}
	d.store.put("op/config", configOf(7, nil, lookupRoute("lookups", "/lookups/", "wuno96b")))
	if err := d.startInstances(3); err != nil {
		return false, err
	}
	lookups := d.startTraffic(3, lookupRequest)
	time.Sleep(5 * time.Second)
	for range replacements {
		if !d.trouble {
			time.Sleep(betweenReplace)
			continue
		}
		fresh, err := start()
		if err != nil {
			return false, err
		}
		old := serving[0]
		serving = append(serving[1:], fresh)
		old.setState("")
		d.record.printf("the entry of server %s is removed", old.id)
		time.Sleep(drainTime + pastDrain)
		old.kill()
		d.record.printf("server %s has left", old.id)
		time.Sleep(betweenReplace - drainTime - pastDrain)
	}
	return d.judgeDenied(lookups.end()), nil
}

// judgeDenied judges DENIED: at most 5 and one in 500 of all requests, all of which are proper, are ended
// with a 3xx or 4xx of the instances' own.
func (d *deployment) judgeDenied(answers []*answer) bool {
	denied, ranToEnd := 0, 0
	byStatus := make(map[int]int)
	for _, a := range answers {
		byStatus[a.status]++
		switch {
		case a.status >= 300 && a.status < 500 && !a.sealed && a.status != 408 && a.status != 421 && a.status != 429:
			denied++
		case a.status != 200 && d.runs.count(a.id, "end") > 0:
			ranToEnd++
		}
	}
	d.record.printf("%d requests, by status %v: %d denied; %d got a failure though a server had run them to the end", len(answers), byStatus, denied, ranToEnd)
	return float64(denied) > 5+float64(len(answers))/500
}
