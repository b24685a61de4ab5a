package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/schema/callerapi"
	"basilrudder/internal/trial"
)

// patience is how long a caller waits without any sign before it asks elsewhere.
const patience = 5 * time.Second

// errPatience ends an attempt that has brought nothing for too long.
var errPatience = errors.New("nothing came for too long")

// answerKind is how one attempt ended for its caller.
type answerKind uint8

const (
	// answerWhole is a whole answer.
	answerWhole answerKind = iota
	// answerRefused is a refusal with a verdict.
	answerRefused
	// answerUnsent means that no connection was made.
	answerUnsent
	// answerLost means that the connection broke or brought nothing.
	answerLost
)

// answer is what one attempt brought.
type answer struct {
	kind    answerKind
	text    string
	refusal callerapi.RefusalError
	err     error
}

// caller sends the requests of one customer as docs/CALLERS.md says.
type caller struct {
	customer string
	client   *http.Client
	// entries returns addresses that a caller with no directory may know.
	entries func() []string

	mu        sync.Mutex
	directory callerapi.Directory
	until     time.Time
}

func newCaller(customer string, entries func() []string) *caller {
	return &caller{
		customer: customer,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connectionsKept}},
		entries:  entries,
	}
}

// instances returns the directory's answer, asking anew when it has expired.
func (c *caller) instances(ctx context.Context) []callerapi.DirectoryInstance {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.directory.Instances
	}
	var known []string
	for _, instance := range c.directory.Instances {
		known = append(known, instance.Address)
	}
	for _, address := range append(known, c.entries()...) {
		asked := time.Now()
		directory, err := c.askDirectory(ctx, address)
		if err == nil && len(directory.Instances) > 0 {
			c.directory = directory
			c.until = asked.Add(time.Duration(directory.TTLS) * time.Second)
			return directory.Instances
		}
	}
	return nil
}

func (c *caller) askDirectory(ctx context.Context, address string) (callerapi.Directory, error) {
	var directory callerapi.Directory
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/directory", nil)
	if err != nil {
		return directory, err
	}
	req.Header.Set("Authorization", "Bearer "+trial.CredentialPrefix+c.customer)
	resp, err := c.client.Do(req)
	if err != nil {
		return directory, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return directory, errors.Errorf("status %d", resp.StatusCode)
	}
	return directory, json.NewDecoder(resp.Body).Decode(&directory)
}

// work is one request as its caller sees it, whatever the attempts.
type work struct {
	class      string
	service    bool
	idempotent bool
	tokens     int
}

func drawWork(rng *rand.Rand, served, mostTokens int) work {
	model := rng.IntN(served)
	w := work{tokens: 1 + rng.IntN(mostTokens), idempotent: rng.IntN(2) == 0}
	switch {
	case rng.Float64() < serviceShare && w.idempotent:
		w.class, w.service = classService, true
	case rng.Float64() < serviceShare:
		w.class, w.service = classOnce, true
	case w.idempotent:
		w.class = className(classStream, model)
	default:
		w.class = className(classLetter, model)
	}
	w.idempotent = w.class == classService || strings.HasPrefix(w.class, classStream)
	return w
}

// send makes one attempt under a bound id.
func (c *caller) send(ctx context.Context, address, id string, w work) answer {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alarm := time.AfterFunc(patience, func() { cancel(errPatience) })
	defer alarm.Stop()
	req, err := c.request(ctx, address, id, w)
	if err != nil {
		return answer{kind: answerUnsent, err: err}
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{kind: lossOf(err), err: err}
	}
	defer resp.Body.Close()
	body := &patientReader{r: resp.Body, alarm: alarm}
	if resp.StatusCode != http.StatusOK {
		return refusalOf(body)
	}
	if w.service {
		return serviceAnswer(body)
	}
	return streamAnswer(body)
}

func (c *caller) request(ctx context.Context, address, id string, w work) (*http.Request, error) {
	url := "http://" + address + "/v1/chat/completions"
	body := fmt.Sprintf(`{"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"compare"}]}`, w.tokens)
	if w.service {
		url = "http://" + address + "/v1/services/" + serviceName + "/compare"
		body = "{}"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+trial.CredentialPrefix+c.customer)
	req.Header.Set("X-Request-Class", w.class)
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// lossOf tells a connection that was never made from one that was lost.
func lossOf(err error) answerKind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return answerUnsent
	}
	return answerLost
}

// patientReader puts the alarm off with everything that comes.
type patientReader struct {
	r     io.Reader
	alarm *time.Timer
}

// Read implements io.Reader.
func (p *patientReader) Read(buf []byte) (int, error) {
	n, err := p.r.Read(buf)
	p.alarm.Reset(patience)
	return n, err
}

func refusalOf(body io.Reader) answer {
	data, err := io.ReadAll(body)
	if err != nil {
		return answer{kind: answerLost, err: err}
	}
	return parseRefusal(data)
}

func parseRefusal(data []byte) answer {
	var refusal callerapi.Refusal
	if err := json.Unmarshal(data, &refusal); err != nil {
		return answer{kind: answerLost, err: errors.Wrapf(err, "refusal %.100q", data)}
	}
	return answer{kind: answerRefused, refusal: refusal.Error}
}

func serviceAnswer(body io.Reader) answer {
	data, err := io.ReadAll(body)
	if err != nil {
		return answer{kind: answerLost, err: err}
	}
	return answer{kind: answerWhole, text: string(data)}
}
