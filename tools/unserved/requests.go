package main

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"basilrudder/internal/relaylog"
)

const (
	// deadlineTolerance is by how much the deadlines of two attempts of one request may
	// differ, since the network delays each of them differently. A larger one links
	// attempts of different callers.
	deadlineTolerance = 12 * time.Millisecond
	// A caller returns between returnEarly before the time that it was told and
	// returnLate after it.
	returnEarly, returnLate = 10 * time.Millisecond, 250 * time.Millisecond
)

// line is a log line of an ended attempt.
type line struct {
	At           time.Time `json:"ts"`
	Message      string    `json:"msg"`
	Service      string    `json:"service"`
	Route        string    `json:"route"`
	Rank         int       `json:"rank"`
	Status       int       `json:"status"`
	TookMS       int64     `json:"took_ms"`
	DeadlineMS   int64     `json:"deadline_ms"`
	RetryAfterMS int64     `json:"come_back_ms"`
}

// attempt is one attempt of a caller.
type attempt struct {
	service, route string
	rank           int
	began          time.Time
	// deadline is when the caller stops waiting.
	deadline time.Time
	// returns is when a refused caller was told to return; zero if it was not refused.
	returns time.Time
	served  bool
}

// read returns the attempts in a log. It ignores lines of other kinds.
func read(in io.Reader) ([]attempt, error) {
	var out []attempt
	err := relaylog.EachObject(in, func(object []byte) {
		var l line
		if err := json.Unmarshal(object, &l); err != nil {
			return // a line that was cut off, or not of an instance
		}
		if l.Message == "request_ended" && l.Service != "" && l.DeadlineMS > 0 {
			out = append(out, l.attempt())
		}
	})
	return out, err
}

func (l *line) attempt() attempt {
	a := attempt{
		service: l.Service, route: l.Route, rank: l.Rank,
		began:  l.At.Add(-milliseconds(l.TookMS)),
		served: l.Status == http.StatusOK,
	}
	a.deadline = a.began.Add(milliseconds(l.DeadlineMS))
	if l.RetryAfterMS > 0 {
		a.returns = l.At.Add(milliseconds(l.RetryAfterMS))
	}
	return a
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// request is all attempts of one request, of which the first began at a time.
type request struct {
	service, route string
	rank           int
	began          time.Time
	served         bool
}

// link joins the attempts of each request. A caller that returns has a new id, but its
// deadline is the same.
func link(attempts []attempt) []request {
	slices.SortFunc(attempts, func(a, b attempt) int { return a.began.Compare(b.began) })
	byRoute := make(map[string][]int)
	for i := range attempts {
		byRoute[attempts[i].route] = append(byRoute[attempts[i].route], i)
	}
	first := make([]int, len(attempts))
	for i := range first {
		first[i] = i
	}
	for i := range attempts {
		if next := findReturn(attempts, byRoute[attempts[i].route], first, i); next >= 0 {
			first[next] = first[i]
		}
	}
	return join(attempts, first)
}

// findReturn returns the attempt with which the caller of a refused one returned, or -1.
// Those that are linked already have another first attempt than themselves.
func findReturn(attempts []attempt, sameRoute, first []int, refused int) int {
	a := &attempts[refused]
	if a.returns.IsZero() {
		return -1
	}
	from, _ := slices.BinarySearchFunc(sameRoute, a.returns.Add(-returnEarly), func(i int, t time.Time) int {
		return attempts[i].began.Compare(t)
	})
	best, bestDifference := -1, deadlineTolerance
	for _, i := range sameRoute[from:] {
		if attempts[i].began.After(a.returns.Add(returnLate)) {
			break
		}
		difference := attempts[i].deadline.Sub(a.deadline).Abs()
		if i != refused && first[i] == i && difference < bestDifference {
			best, bestDifference = i, difference
		}
	}
	return best
}

// join returns a request for each first attempt, served if one of its attempts was.
func join(attempts []attempt, first []int) []request {
	served := make(map[int]bool)
	for i, f := range first {
		served[f] = served[f] || attempts[i].served
	}
	var out []request
	for i, f := range first {
		if i == f {
			a := &attempts[i]
			out = append(out, request{service: a.service, route: a.route, rank: a.rank, began: a.began, served: served[i]})
		}
	}
	slices.SortFunc(out, func(a, b request) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.route, b.route), cmp.Compare(a.rank, b.rank), a.began.Compare(b.began))
	})
	return out
}
