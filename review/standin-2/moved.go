package main

import (
	"os"
	"time"
)

func init() { cases["moved"] = playMoved }

// cut reports whether a client got no complete answer though the server ran its request to the end.
func (d *deployment) cut(a *answer) bool {
	return a.err != nil && d.runs.count(a.id, "begin") > 0 && d.runs.count(a.id, "end") > 0
}

// letterTime is more than a letter takes.
const letterTime = time.Second

// playMoved moves the route of the letters to another service. The servers of both services end the
// letters with their connections, and send notes in chunks.
func playMoved(d *deployment) (bool, error) {
	d.born = os.Getenv("BORN") != "0"
	for _, service := range []string{"huvo11a", "huvo22c"} {
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			if _, err := d.startServer(id+service[4:], service, "-unmarked", "/letters/"); err != nil {
				return false, err
			}
		}
	}
	services := []string{"huvo11a", "huvo22c"}
	d.store.put("op/config", configOf(7, services, routeOf("letters", "/letters/", "huvo11a"), routeOf("notes", "/notes/", "huvo11a")))
	if err := d.startInstances(3); err != nil {
		return false, err
	}
	notes := d.startTraffic(40, func() request { return streamRequest("/notes/2f", 8*time.Second) })
	time.Sleep(8 * time.Second)
	letters := d.startTraffic(8, func() request { return streamRequest("/letters/2f", 8*time.Second) })
	time.Sleep(20 * time.Second)
	sentAt := time.Now()
	if d.trouble {
		d.store.put("op/config", configOf(12, services, routeOf("letters", "/letters/", "huvo22c"), routeOf("notes", "/notes/", "huvo11a")))
		d.record.printf("configuration 12 is acknowledged")
	}
	window := configTime + time.Second
	time.Sleep(window - letterTime)
	answers := letters.end()
	notes.end()
	return d.judgeCuts(answers, sentAt, window), nil
}

// judgeCuts judges LOST around a configuration that was sent and acknowledged at an instant.
func (d *deployment) judgeCuts(answers []*answer, sentAt time.Time, window time.Duration) bool {
	type count struct{ inside, outside, cutInside, cutOutside int }
	counts := make(map[string]*count)
	var first time.Time
	for _, a := range answers {
		if first.IsZero() || a.sentAt.Before(first) {
			first = a.sentAt
		}
		c := counts[a.instance]
		if c == nil {
			c = &count{}
			counts[a.instance] = c
		}
		// A request that has used seven tenths of its time doesn't count.
		cut := d.cut(a) && a.endedAt.Sub(a.sentAt) < 8*time.Second*7/10
		switch inside := a.endedAt.After(sentAt); {
		case inside && cut:
			c.inside++
			c.cutInside++
		case inside:
			c.inside++
		case cut:
			c.outside++
			c.cutOutside++
		default:
			c.outside++
		}
		if cut {
			d.record.printf("cut: %s by %s, %d events, %v; its server ran it to the end", a.id, a.instance, a.events(), shortError(a.err))
		}
	}
	broken := false
	for name, c := range counts {
		inRate := float64(c.cutInside) / window.Seconds()
		outRate := float64(c.cutOutside) / sentAt.Sub(first).Seconds()
		d.record.printf("%s: %d letters ended after the configuration, %d cut (%.2f a second); %d before it, %d cut (%.2f a second)",
			name, c.inside, c.cutInside, inRate, c.outside, c.cutOutside, outRate)
		broken = broken || c.cutInside > 0 && inRate > 3*outRate
	}
	return broken
}
