package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"basilrudder/internal/schema/callerapi"
	"basilrudder/internal/schema/inventory"
)

// CredentialPrefix starts the trial credential of each example customer.
const CredentialPrefix = "trial-"

// Load is a short mixed load.
type Load struct {
	// Inventory names the customers and classes.
	Inventory *inventory.Inventory
	// For is how long requests arrive.
	For time.Duration
	// PerSecond is the mean rate of requests.
	PerSecond float64
	// MaxTokens bounds each answer.
	MaxTokens int
	// Seed of the arrivals.
	Seed uint64
}

// Tally counts what callers saw.
type Tally struct {
	mu sync.Mutex
	// Sent requests, and those answered whole, refused and failed.
	Sent, Whole, Refused, Failed int
}

// Run sends the load to the fleet and waits for all answers.
func (l Load) Run(ctx context.Context, f *Fleet) (*Tally, error) {
	rng := rand.New(rand.NewPCG(l.Seed, 2))
	tally := &Tally{}
	var group errgroup.Group
	end := time.Now().Add(l.For)
	for time.Now().Before(end) && ctx.Err() == nil {
		customer := l.Inventory.Customers[rng.IntN(len(l.Inventory.Customers))]
		classes := l.classesOf(customer)
		class := classes[rng.IntN(len(classes))]
		address := f.Members[rng.IntN(len(f.Members))].Callers
		tokens := 1 + rng.IntN(l.MaxTokens)
		group.Go(func() error { return l.call(ctx, tally, address, customer, class, tokens) })
		wait := time.Duration(rng.ExpFloat64() / l.PerSecond * float64(time.Second))
		time.Sleep(wait)
	}
	return tally, group.Wait()
}

// classesOf returns the classes that a customer may use; of the others it would
// learn nothing but that they are forbidden.
func (l Load) classesOf(customer inventory.Customer) []inventory.Class {
	if len(customer.Classes) == 0 {
		return l.Inventory.Classes
	}
	var out []inventory.Class
	for _, class := range l.Inventory.Classes {
		if slices.Contains(customer.Classes, class.Name) {
			out = append(out, class)
		}
	}
	return out
}

func (l Load) call(ctx context.Context, t *Tally, address string, customer inventory.Customer, class inventory.Class, tokens int) error {
	url := "http://" + address + "/v1/chat/completions"
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"trial"}]}`, class.Model, tokens)
	if class.Kind == inventory.ClassKindService {
		url = "http://" + address + "/v1/services/" + class.Service + "/trial"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+CredentialPrefix+customer.Name)
	req.Header.Set("X-Request-Class", class.Name)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.add(0, nil)
		return nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.add(0, nil)
		return nil
	}
	t.add(resp.StatusCode, data)
	return nil
}

// add counts an answer; status 0 means that the connection failed.
func (t *Tally) add(status int, body []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Sent++
	var refusal callerapi.Refusal
	switch {
	case status == http.StatusOK && !bytes.Contains(body, []byte("basilrudder_refusal")):
		t.Whole++
	case status != 0 && json.Unmarshal(body, &refusal) == nil && refusal.Error.Verdict == callerapi.VerdictNotRun:
		t.Refused++
	default:
		t.Failed++
	}
}
