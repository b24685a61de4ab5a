package main

import "time"

// window counts the requests of a route and rank that began from a time on.
type window struct {
	service, route     string
	rank               int
	from               time.Time
	requests, unserved int
}

func (w *window) share() float64 { return float64(w.unserved) / float64(max(1, w.requests)) }

// worstWindows returns, for each route and rank, the window with the largest share of
// unserved requests among those with at least minRequests. The requests are sorted as by
// join.
func worstWindows(requests []request, length, step time.Duration, minRequests int) []window {
	var out []window
	for len(requests) > 0 {
		n := 1
		for n < len(requests) && sameKind(&requests[n], &requests[0]) {
			n++
		}
		if worst, ok := worstWindow(requests[:n], length, step, minRequests); ok {
			out = append(out, worst)
		}
		requests = requests[n:]
	}
	return out
}

func sameKind(a, b *request) bool {
	return a.service == b.service && a.route == b.route && a.rank == b.rank
}

func worstWindow(requests []request, length, step time.Duration, minRequests int) (worst window, ok bool) {
	last := requests[len(requests)-1].began
	for from := requests[0].began; !from.After(last); from = from.Add(step) {
		w := count(requests, from, length)
		if w.requests >= minRequests && (!ok || w.share() > worst.share()) {
			worst, ok = w, true
		}
	}
	return worst, ok
}

func count(requests []request, from time.Time, length time.Duration) window {
	w := window{service: requests[0].service, route: requests[0].route, rank: requests[0].rank, from: from}
	for i := range requests {
		since := requests[i].began.Sub(from)
		if since < 0 || since >= length {
			continue
		}
		w.requests++
		if !requests[i].served {
			w.unserved++
		}
	}
	return w
}
