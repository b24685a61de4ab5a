package callers

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"basilrudder/internal/answers"
	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/callerapi"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/verdict"
)

// Credentials of the customers of testCatalog.
const (
	credential      = "credential-one"
	otherCredential = "credential-two"
)

// localPrefix is the prefix of the ids that are bound to a fakeBackend.
const localPrefix = "local-"

func digest(credential string) []string {
	sum := sha256.Sum256([]byte(credential))
	return []string{hex.EncodeToString(sum[:])}
}

func testCatalog() *catalog.Catalog {
	return catalog.Compile(1, &inventory.Inventory{
		Customers: []inventory.Customer{
			{Name: "one", CredentialSHA256: digest(credential)},
			{Name: "two", CredentialSHA256: digest(otherCredential), Classes: []string{"lookup"}},
		},
		Classes: []inventory.Class{
			{Name: "draft", Kind: inventory.ClassKindModel, Model: "m1", Idempotent: true, MaxOutputTokens: 100},
			{Name: "letter", Kind: inventory.ClassKindModel, Model: "m1"},
			{Name: "lookup", Kind: inventory.ClassKindService, Service: "registry", Idempotent: true},
		},
	})
}

// fakeBackend answers each request by its serve function, in a goroutine.
type fakeBackend struct {
	catalog *catalog.Catalog
	store   *answers.Store
	serve   func(request *Request, log *answers.Log)
	refuse  *verdict.Error
	home    func(id string) (string, bool, *verdict.Error)

	mu        sync.Mutex
	minted    int
	submitted []*Request
	arrived   chan string
	gone      chan string
	delivered chan string
}

func newFakeBackend(serve func(*Request, *answers.Log)) *fakeBackend {
	return &fakeBackend{
		catalog:   testCatalog(),
		store:     answers.NewStore(answers.StoreConfig{Keep: 1 << 40, KeptBytes: 1 << 30}),
		serve:     serve,
		arrived:   make(chan string, 1000),
		gone:      make(chan string, 1000),
		delivered: make(chan string, 1000),
	}
}

func (b *fakeBackend) Catalog() *catalog.Catalog { return b.catalog }

func (b *fakeBackend) Submit(_ context.Context, request *Request) (*answers.Log, string, *verdict.Error) {
	if b.refuse != nil {
		return nil, request.ID, b.refuse
	}
	b.mu.Lock()
	b.submitted = append(b.submitted, request)
	id := request.ID
	if id == "" {
		b.minted++
		id = fmt.Sprintf("%s%d", localPrefix, b.minted)
	}
	b.mu.Unlock()
	key := answers.Key{Customer: request.Customer.Name, ID: id}
	log, created, err := b.store.Begin(1, key, answers.Begin{Fingerprint: request.Fingerprint, Expires: 1 << 60})
	if created {
		go b.serve(request, log)
	}
	b.arrived <- id
	return log, id, err
}

func (b *fakeBackend) CallerGone(_ *catalog.Customer, id string) { b.gone <- id }

func (b *fakeBackend) Refused(*catalog.Customer, *catalog.Class, string, *verdict.Error) {}

func (b *fakeBackend) Delivered(_ *catalog.Customer, id string) { b.delivered <- id }

func (b *fakeBackend) Find(customer, id string) (*answers.Log, bool) {
	return b.store.Find(answers.Key{Customer: customer, ID: id})
}

func (b *fakeBackend) Home(id string) (string, bool, *verdict.Error) {
	if b.home != nil {
		return b.home(id)
	}
	if strings.HasPrefix(id, localPrefix) {
		return "", true, nil
	}
	return "", false, verdict.New(verdict.NotRun, verdict.ReasonUnboundKey, "not minted")
}

func (b *fakeBackend) Directory(customer *catalog.Customer) callerapi.Directory {
	return callerapi.Directory{TTLS: 30, Revision: 1, Instances: []callerapi.DirectoryInstance{
		{ID: "i1", Address: "127.0.0.1:1", DataCentre: "a", IDPrefix: localPrefix},
	}}
}

func (b *fakeBackend) requests() []*Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*Request(nil), b.submitted...)
}

// serveTokens answers with one token per word; the last one has a finish reason.
func serveTokens(words ...string) func(*Request, *answers.Log) {
	return func(_ *Request, log *answers.Log) {
		for i, word := range words {
			event := engineapi.TokenEvent{Offset: i, Text: word}
			if i == len(words)-1 {
				event.Finish = "stop"
			}
			_ = log.Append(event)
		}
		log.Close(nil)
	}
}

// startServer serves the backend on loopback and returns its address.
func startServer(t testing.TB, cfg Config, backend Backend) string {
	t.Helper()
	if cfg.Now == nil {
		cfg.Now = func() monotime.Instant { return 1 }
	}
	server := NewServer(cfg, backend)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		server.cancel()
		_ = server.http.Shutdown()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// send sends a request. headers alternates names and values.
func send(t testing.TB, method, address, path, body string, headers ...string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+credential)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func readAll(t testing.TB, response *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// wantRefusal checks that a response is the expected refusal and returns it.
func wantRefusal(t testing.TB, response *http.Response, status int, v verdict.Verdict, reason verdict.Reason) callerapi.RefusalError {
	t.Helper()
	var refusal callerapi.Refusal
	text := readAll(t, response)
	if err := json.Unmarshal([]byte(text), &refusal); err != nil {
		t.Fatalf("%v in %q", err, text)
	}
	if response.StatusCode != status {
		t.Errorf("status %d, want %d (%s)", response.StatusCode, status, text)
	}
	got := refusal.Error
	if got.Type != refusalType || string(got.Verdict) != v.String() || got.Reason != string(reason) {
		t.Errorf("refusal %+v, want %v and %v", got, v, reason)
	}
	if header := response.Header.Get(HeaderVerdict); header != v.String() {
		t.Errorf("header %s is %q, want %v", HeaderVerdict, header, v)
	}
	return got
}

// event is one server-sent event.
type event struct{ name, id, data string }

// readEvents reads events until the body ends and returns them with the read error.
func readEvents(body io.Reader) ([]event, error) {
	var events []event
	var current event
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case line == "":
			events = append(events, current)
			current = event{}
		case strings.HasPrefix(line, "event: "):
			current.name = line[len("event: "):]
		case strings.HasPrefix(line, "id: "):
			current.id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			current.data = line[len("data: "):]
		}
	}
	return events, scanner.Err()
}
