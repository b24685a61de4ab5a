package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	id, path string
	instance string
	sentAt   time.Time
	endedAt  time.Time
	status   int // 0 if the connection ended before one came
	sealed   bool
	framing  string
	body     string
	err      error
}

// events returns how many whole events the body has.
func (a *answer) events() int { return strings.Count(a.body, "\n\n") }

// resolve asks an instance where to connect.
func (d *deployment) resolve() []string {
	for _, n := range mrand.Perm(len(d.instances)) {
		client := http.Client{Timeout: time.Second}
		got, err := client.Get("http://" + d.instances[n].resolve + "/basilrudder/resolve?name=" + hostName + "&region=" + region + "&zone=" + zone)
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(got.Body).Decode(&body)
		_ = got.Body.Close()
		if err == nil && len(body.Addresses) > 0 {
			return body.Addresses
		}
	}
	return nil
}

// instanceAt returns the name of the instance with an address for clients.
func (d *deployment) instanceAt(address string) string {
	for _, i := range d.instances {
		if i.callers == address {
			return i.name
		}
	}
	return address
}

func newID() string {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw) // never fails
	return hex.EncodeToString(raw)
}

// request is one client attempt.
type request struct {
	method, path string
	headers      map[string]string
	body         string
	deadline     time.Duration
}

// sharedParts is the number of first parts that prompts share.
const sharedParts = 64

// streamRequest returns a request for a stream.
func streamRequest(path string, deadline time.Duration) request {
	return request{
		method: http.MethodPost, path: path, body: strings.Repeat("p", 400), deadline: deadline,
		headers: map[string]string{
			"Model": "m", "Token-Usage": "300,24",
			"Prefix-Hash": fmt.Sprintf("5c1e07%02x:200,%s:100", mrand.IntN(sharedParts), newID()[:8]),
		},
	}
}

// send sends a request on a new connection and reads its answer.
func (d *deployment) send(address string, q request) *answer {
	a := &answer{id: newID(), path: q.path, instance: d.instanceAt(address), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+time.Second)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, strings.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	hr.Host = hostName
	for name, value := range q.headers {
		hr.Header.Set(name, value)
	}
	hr.Header.Set("Attempt-Id", a.id)
	hr.Header.Set("Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	hr.Header.Set("Authorization", "Token "+apiKey)
	transport := &http.Transport{DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	got, err := transport.RoundTrip(hr)
	if err != nil {
		a.err, a.endedAt = err, time.Now()
	} else {
		a.status, a.sealed = got.StatusCode, got.Header.Get("Server-Seal") != ""
		a.framing = framingOf(got)
		body, err := io.ReadAll(got.Body)
		a.body, a.err, a.endedAt = string(body), err, time.Now()
		_ = got.Body.Close()
	}
	d.record.printf("client: %s %s by %s status %d sealed %v framing %s events %d bytes %d took %d ms error %v",
		a.id, a.path, a.instance, a.status, a.sealed, a.framing, a.events(), len(a.body), a.endedAt.Sub(a.sentAt).Milliseconds(), shortError(a.err))
	return a
}

func framingOf(got *http.Response) string {
	switch {
	case len(got.TransferEncoding) > 0:
		return "chunked"
	case got.ContentLength >= 0:
		return "length"
	default:
		return "close"
	}
}

// shortError returns the cause of an error without addresses.
func shortError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) {
		return operation.Err
	}
	return err
}
