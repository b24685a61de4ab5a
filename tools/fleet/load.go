package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"basilrudder/internal/trial"
)

const (
	serviceShare    = 0.2
	requestTimeout  = 2 * time.Minute
	longestLatency  = int64(2 * time.Minute)
	latencyDigits   = 3
	connectionsKept = 256
)

// steadyLoad sends requests at a steady rate to each daemon. It takes no answer
// of the directory, so that every daemon gets the same.
type steadyLoad struct {
	// PerDaemon is the rate of requests to each daemon, per second.
	PerDaemon float64 `json:"requests_per_s_per_daemon"`
	// Tokens of each answer of a model.
	Tokens int `json:"tokens"`
	// Customers to draw from.
	Customers int `json:"customers"`
	// Models to draw from: a small inventory serves only some.
	Models int `json:"models"`
}

// loadResult is what the callers saw.
type loadResult struct {
	Sent    int64 `json:"sent"`
	Whole   int64 `json:"whole"`
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
	// FirstByteMS holds quantiles of the time to the first byte of the answer.
	FirstByteMS map[string]float64 `json:"first_byte_ms"`
}

type loadRun struct {
	load   steadyLoad
	client *http.Client
	sent   atomic.Int64
	whole  atomic.Int64
	refuse atomic.Int64
	failed atomic.Int64

	mu    sync.Mutex
	first *hdrhistogram.Histogram
}

// run sends the load until stop is closed, waits for the answers, and returns
// what the callers saw.
func (l steadyLoad) run(ctx context.Context, addresses []string, stop <-chan struct{}) loadResult {
	r := &loadRun{
		load:   l,
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: connectionsKept}},
		first:  hdrhistogram.New(1, longestLatency, latencyDigits),
	}
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() { r.feed(ctx, address, rand.New(rand.NewPCG(1, uint64(i))), stop) })
	}
	group.Wait()
	r.client.CloseIdleConnections()
	return r.result()
}

func (r *loadRun) result() loadResult {
	out := loadResult{
		Sent: r.sent.Load(), Whole: r.whole.Load(), Refused: r.refuse.Load(), Failed: r.failed.Load(),
		FirstByteMS: make(map[string]float64),
	}
	for _, q := range []float64{50, 95, 99} {
		out.FirstByteMS[fmt.Sprintf("p%.0f", q)] = float64(r.first.ValueAtQuantile(q)) / float64(time.Millisecond)
	}
	return out
}

// feed sends to one daemon with exponential gaps.
func (r *loadRun) feed(ctx context.Context, address string, rng *rand.Rand, stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for r.load.PerDaemon > 0 {
		wait := time.Duration(rng.ExpFloat64() / r.load.PerDaemon * float64(time.Second))
		select {
		case <-stop:
			return
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		customer := customerName(rng.IntN(r.load.Customers))
		model := rng.IntN(r.load.Models)
		isService := rng.Float64() < serviceShare
		group.Go(func() { r.call(ctx, address, customer, model, isService) })
	}
}

func (r *loadRun) call(ctx context.Context, address, customer string, model int, isService bool) {
	r.sent.Add(1)
	req, err := r.request(ctx, address, customer, model, isService)
	if err != nil {
		r.failed.Add(1)
		return
	}
	begin := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		r.failed.Add(1)
		return
	}
	defer resp.Body.Close()
	r.mu.Lock()
	_ = r.first.RecordValue(int64(time.Since(begin)))
	r.mu.Unlock()
	data, err := io.ReadAll(resp.Body)
	switch {
	case err != nil || bytes.Contains(data, []byte("event: error")):
		r.failed.Add(1)
	case resp.StatusCode != http.StatusOK:
		r.refuse.Add(1)
	default:
		r.whole.Add(1)
	}
}

func (r *loadRun) request(ctx context.Context, address, customer string, model int, isService bool) (*http.Request, error) {
	class := className(classStream, model)
	url := "http://" + address + "/v1/chat/completions"
	body := fmt.Sprintf(`{"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"measure"}]}`, r.load.Tokens)
	if isService {
		class = classService
		url = "http://" + address + "/v1/services/" + serviceName + "/measure"
		body = ""
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+trial.CredentialPrefix+customer)
	req.Header.Set("X-Request-Class", class)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
