package callers

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/answers"
	"basilrudder/internal/schema/engineapi"
	"basilrudder/internal/verdict"
)

const (
	chatBodyWhole  = `{"messages":[{"role":"user","content":"hello"}]}`
	chatBodyStream = `{"stream":true,"messages":[{"role":"user","content":"hello"}]}`
)

type completion struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Model   string `json:"model"`
	Choices []struct {
		Message struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func TestWholeAnswer(t *testing.T) {
	backend := newFakeBackend(serveTokens("Good ", "\"day\"\n", "☀"))
	address := startServer(t, Config{}, backend)
	response := send(t, "POST", address, pathChat, chatBodyWhole, HeaderClass, "draft")
	var got completion
	if err := json.Unmarshal([]byte(readAll(t, response)), &got); err != nil {
		t.Fatal(err)
	}
	if got.Object != "chat.completion" || got.Model != "m1" || got.Usage.CompletionTokens != 3 {
		t.Errorf("%+v", got)
	}
	choice := got.Choices[0]
	if choice.Message.Content != "Good \"day\"\n☀" || *choice.FinishReason != "stop" {
		t.Errorf("%+v", choice)
	}
	if id := response.Header.Get(HeaderRequestID); id != got.ID || id == "" {
		t.Errorf("id %q in the header, %q in the body", id, got.ID)
	}
	if v := response.Header.Get(HeaderVerdict); v != verdict.TextRan {
		t.Errorf("verdict %q", v)
	}
	if id := <-backend.delivered; id != got.ID {
		t.Errorf("delivered %q", id)
	}
}

func TestStreamedAnswer(t *testing.T) {
	backend := newFakeBackend(serveTokens("a", "b", "c"))
	address := startServer(t, Config{}, backend)
	response := send(t, "POST", address, pathChat, chatBodyStream, HeaderClass, "draft")
	events, err := readEvents(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if len(events) != 4 || events[3].data != "[DONE]" {
		t.Fatalf("%+v", events)
	}
	text := ""
	for i, e := range events[:3] {
		var chunk completion
		if err := json.Unmarshal([]byte(e.data), &chunk); err != nil {
			t.Fatal(err)
		}
		if want := string(rune('0' + i)); e.id != want {
			t.Errorf("event %d has the id %q", i, e.id)
		}
		if last := i == 2; (chunk.Choices[0].FinishReason != nil) != last {
			t.Errorf("event %d: %s", i, e.data)
		}
		text += chunk.Choices[0].Delta.Content
	}
	if text != "abc" {
		t.Errorf("text %q", text)
	}
	<-backend.delivered
}

// A token must reach the caller before the engine has produced the next one.
func TestTokensAreSentAsTheyArrive(t *testing.T) {
	step := make(chan struct{})
	backend := newFakeBackend(func(_ *Request, log *answers.Log) {
		_ = log.Append(engineapi.TokenEvent{Offset: 0, Text: "a"})
		<-step
		_ = log.Append(engineapi.TokenEvent{Offset: 1, Text: "b", Finish: "stop"})
		log.Close(nil)
	})
	address := startServer(t, Config{}, backend)
	response := send(t, "POST", address, pathChat, chatBodyStream, HeaderClass, "draft")
	buffer := make([]byte, 4096)
	n, err := response.Body.Read(buffer)
	if err != nil || !strings.Contains(string(buffer[:n]), `"content":"a"`) {
		t.Fatalf("%q, %v", buffer[:n], err)
	}
	close(step)
	if events, err := readEvents(response.Body); err != nil || len(events) != 2 {
		t.Errorf("%+v, %v", events, err)
	}
}

// The engine is lost in the middle of an answer, after the caller has read the status
// 200. The stream must have an error event with the verdict, no [DONE], and no last
// chunk, or the caller would take the truncated answer for a whole one.
func TestTruncatedStreamIsNotAWholeAnswer(t *testing.T) {
	backend := newFakeBackend(func(_ *Request, log *answers.Log) {
		_ = log.Append(engineapi.TokenEvent{Offset: 0, Text: "a"})
		log.Close(verdict.New(verdict.Ran, verdict.ReasonUpstreamLost, "engine lost"))
	})
	address := startServer(t, Config{}, backend)
	response := send(t, "POST", address, pathChat, chatBodyStream, HeaderClass, "letter")
	events, err := readEvents(response.Body)
	if err == nil {
		t.Error("the body ended with its last chunk")
	}
	if len(events) != 2 || events[1].name != "error" || !strings.Contains(events[1].data, `"verdict":"ran"`) {
		t.Errorf("%+v", events)
	}
}

// The engine is lost in the middle of an answer that is not streamed. Nothing was sent
// yet, so the caller gets an ordinary refusal with the verdict "ran".
func TestFailureOfAWholeAnswerIsARefusal(t *testing.T) {
	backend := newFakeBackend(func(_ *Request, log *answers.Log) {
		_ = log.Append(engineapi.TokenEvent{Offset: 0, Text: "a"})
		log.Close(verdict.New(verdict.Ran, verdict.ReasonUpstreamLost, "engine lost"))
	})
	address := startServer(t, Config{}, backend)
	response := send(t, "POST", address, pathChat, chatBodyWhole, HeaderClass, "letter")
	wantRefusal(t, response, http.StatusBadGateway, verdict.Ran, verdict.ReasonUpstreamLost)
	if response.Header.Get(HeaderShouldRetry) != "false" {
		t.Error("client libraries may retry a request that ran")
	}
}

func TestRefusalCarriesRetryAfter(t *testing.T) {
	backend := newFakeBackend(nil)
	backend.refuse = verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "full").After(1200 * time.Millisecond)
	address := startServer(t, Config{}, backend)
	response := send(t, "POST", address, pathChat, chatBodyStream, HeaderClass, "draft")
	refusal := wantRefusal(t, response, http.StatusServiceUnavailable, verdict.NotRun, verdict.ReasonOverloaded)
	if got := response.Header.Get("Retry-After"); got != "2" {
		t.Errorf("Retry-After %q", got)
	}
	if refusal.RetryAfterMS != 1200 {
		t.Errorf("retry_after_ms %d", refusal.RetryAfterMS)
	}
}

func TestRefusalsBeforeSubmission(t *testing.T) {
	backend := newFakeBackend(nil)
	address := startServer(t, Config{BodyBytes: 1500, HeaderBytes: 4 << 10}, backend)
	long := strings.Repeat("x", 2<<10)
	for _, tt := range []struct {
		name    string
		method  string
		path    string
		body    string
		headers []string
		status  int
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		{"no credential", "POST", pathChat, chatBodyWhole, []string{"Authorization", "", HeaderClass, "draft"}, 401, verdict.NotRun, verdict.ReasonUnauthorized},
		{"wrong credential", "POST", pathChat, chatBodyWhole, []string{"Authorization", "Bearer no", HeaderClass, "draft"}, 401, verdict.NotRun, verdict.ReasonUnauthorized},
		{"wrong credential for an id", "POST", pathChat, chatBodyWhole, []string{"Authorization", "Bearer no", HeaderClass, "draft", HeaderRequestID, "local-7"}, 401, verdict.MayHaveRun, verdict.ReasonUnauthorized},
		{"no class", "POST", pathChat, chatBodyWhole, nil, 400, verdict.NotRun, verdict.ReasonBadRequest},
		{"unknown class", "POST", pathChat, chatBodyWhole, []string{HeaderClass, "no"}, 400, verdict.NotRun, verdict.ReasonUnknownClass},
		{"class of another kind", "POST", pathChat, chatBodyWhole, []string{HeaderClass, "lookup"}, 400, verdict.NotRun, verdict.ReasonBadRequest},
		{"class of another customer", "POST", pathChat, chatBodyWhole, []string{"Authorization", "Bearer " + otherCredential, HeaderClass, "draft"}, 403, verdict.NotRun, verdict.ReasonForbidden},
		{"bad id", "POST", pathChat, chatBodyWhole, []string{HeaderClass, "draft", HeaderRequestID, "a/b"}, 400, verdict.NotRun, verdict.ReasonBadRequest},
		{"unbound key", "POST", pathChat, chatBodyWhole, []string{HeaderClass, "letter", HeaderRequestID, "mine"}, 422, verdict.NotRun, verdict.ReasonUnboundKey},
		{"no JSON", "POST", pathChat, "hello", []string{HeaderClass, "draft"}, 400, verdict.NotRun, verdict.ReasonBadRequest},
		{"no messages", "POST", pathChat, "{}", []string{HeaderClass, "draft"}, 400, verdict.NotRun, verdict.ReasonBadRequest},
		{"another model", "POST", pathChat, `{"model":"m2","messages":[1]}`, []string{HeaderClass, "draft"}, 400, verdict.NotRun, verdict.ReasonBadRequest},
		{"too many tokens", "POST", pathChat, `{"max_tokens":101,"messages":[1]}`, []string{HeaderClass, "draft"}, 400, verdict.NotRun, verdict.ReasonBadRequest},
		{"large body", "POST", pathChat, long, []string{HeaderClass, "draft"}, 413, verdict.NotRun, verdict.ReasonTooLarge},
		{"large body of a stranger", "POST", pathChat, long[:1<<10+1], []string{"Authorization", "Bearer no"}, 401, verdict.NotRun, verdict.ReasonUnauthorized},
		{"large header", "POST", pathChat, "", []string{"X-Long", strings.Repeat("x", 8<<10)}, 431, verdict.NotRun, verdict.ReasonTooLarge},
		{"wrong method", "GET", pathChat, "", nil, 405, verdict.NotRun, verdict.ReasonBadRequest},
		{"wrong path", "GET", "/", "", nil, 404, verdict.NotRun, verdict.ReasonBadRequest},
		{"wrong service", "GET", "/v1/services/other/x", "", []string{HeaderClass, "lookup"}, 400, verdict.NotRun, verdict.ReasonBadRequest},
		{"unknown request", "GET", "/v1/requests/local-9", "", nil, 404, verdict.MayHaveRun, verdict.ReasonUnknownRequest},
	} {
		t.Run(tt.name, func(t *testing.T) {
			response := send(t, tt.method, address, tt.path, tt.body, tt.headers...)
			wantRefusal(t, response, tt.status, tt.verdict, tt.reason)
		})
	}
	if got := len(backend.requests()); got != 0 {
		t.Errorf("%d requests were submitted", got)
	}
}

// A process has started, reached neither the platform nor a peer, and so has no
// configuration. A caller that still has its address sends a request. It must be refused
// with a Retry-After, and the process must not panic.
func TestWithoutAConfigurationCallersAreRefused(t *testing.T) {
	backend := newFakeBackend(nil)
	backend.catalog = nil
	address := startServer(t, Config{}, backend)
	for _, tt := range []struct {
		name, method, path, body, id string
		verdict                      verdict.Verdict
	}{
		{"directory", "GET", "/v1/directory", "", "", verdict.NotRun},
		{"chat", "POST", pathChat, chatBodyWhole, "", verdict.NotRun},
		{"large chat", "POST", pathChat, strings.Repeat("x", 2*unauthenticatedBodyBytes), "", verdict.NotRun},
		{"chat with an id", "POST", pathChat, chatBodyWhole, "local-7", verdict.MayHaveRun},
		{"answer", "GET", "/v1/requests/local-7/answer", "", "local-7", verdict.MayHaveRun},
	} {
		t.Run(tt.name, func(t *testing.T) {
			response := send(t, tt.method, address, tt.path, tt.body, HeaderClass, "draft", HeaderRequestID, tt.id)
			if refusal := wantRefusal(t, response, http.StatusServiceUnavailable, tt.verdict, verdict.ReasonNotReady); refusal.RetryAfterMS == 0 {
				t.Error("no retry_after_ms")
			}
		})
	}
}

func TestBodyIsCompletedForTheEngine(t *testing.T) {
	backend := newFakeBackend(serveTokens("x"))
	address := startServer(t, Config{}, backend)
	readAll(t, send(t, "POST", address, pathChat, chatBodyWhole, HeaderClass, "draft"))
	request := backend.requests()[0]
	var body struct {
		Model     string `json:"model"`
		Prefix    string `json:"prefix"`
		MaxTokens int    `json:"max_tokens"`
		Messages  []any  `json:"messages"`
	}
	if err := json.Unmarshal(request.Body, &body); err != nil {
		t.Fatalf("%v in %s", err, request.Body)
	}
	if body.Model != "m1" || body.MaxTokens != 100 || len(body.Messages) != 1 || body.Prefix == "" {
		t.Errorf("%+v", body)
	}
	if request.Prefix != xxhash.Sum64String(body.Prefix) {
		t.Errorf("prefix %x does not match the one sent to the engine", request.Prefix)
	}
	if request.MaxTokens != 100 || request.PromptTokens == 0 || request.Arrived == 0 {
		t.Errorf("%+v", request)
	}
}

func TestPromptTokensAndPrefixAsStated(t *testing.T) {
	backend := newFakeBackend(serveTokens("x"))
	address := startServer(t, Config{}, backend)
	body := `{"prompt_tokens":1234,"prefix":"ff","max_tokens":7,"messages":[{}]}`
	readAll(t, send(t, "POST", address, pathChat, body, HeaderClass, "letter"))
	request := backend.requests()[0]
	if request.PromptTokens != 1234 || request.Prefix != xxhash.Sum64String("ff") || request.MaxTokens != 7 {
		t.Errorf("%+v", request)
	}
}

// Two customers send the same id. Each must get its own answer.
func TestSameIDOfTwoCustomers(t *testing.T) {
	backend := newFakeBackend(func(request *Request, log *answers.Log) {
		_ = log.SetService(answers.ServiceAnswer{Status: 200, Body: []byte(request.Customer.Name)})
		log.Close(nil)
	})
	address := startServer(t, Config{}, backend)
	headers := []string{HeaderClass, "lookup", HeaderRequestID, "same"}
	first := readAll(t, send(t, "GET", address, "/v1/services/registry/x", "", headers...))
	headers = append(headers, "Authorization", "Bearer "+otherCredential)
	second := readAll(t, send(t, "GET", address, "/v1/services/registry/x", "", headers...))
	if first != "one" || second != "two" {
		t.Errorf("%q and %q", first, second)
	}
}

func TestServicePassesThrough(t *testing.T) {
	backend := newFakeBackend(func(_ *Request, log *answers.Log) {
		_ = log.SetService(answers.ServiceAnswer{
			Status:  http.StatusTeapot,
			Headers: []answers.Header{{Name: "Content-Type", Value: "text/x"}, {Name: "X-Extra", Value: "1"}, {Name: "Connection", Value: "close"}},
			Body:    []byte("answer"),
		})
		log.Close(nil)
	})
	address := startServer(t, Config{}, backend)
	response := send(t, "PUT", address, "/v1/services/registry/a%2Fb/../c?q=1", "body",
		HeaderClass, "lookup", "Content-Type", "text/y")
	if body := readAll(t, response); body != "answer" || response.StatusCode != http.StatusTeapot {
		t.Errorf("%d %q", response.StatusCode, body)
	}
	if response.Header.Get("Content-Type") != "text/x" || response.Header.Get("X-Extra") != "1" || response.Close {
		t.Errorf("%v", response.Header)
	}
	request := backend.requests()[0]
	want := ServiceRequest{Method: "PUT", Path: "/a%2Fb/../c?q=1", ContentType: "text/y"}
	if *request.Service != want || string(request.Body) != "body" {
		t.Errorf("%+v %q", request.Service, request.Body)
	}
}

func TestDirectory(t *testing.T) {
	address := startServer(t, Config{}, newFakeBackend(nil))
	response := send(t, "GET", address, pathDirectory, "")
	if text := readAll(t, response); !strings.Contains(text, `"id_prefix":"local-"`) {
		t.Error(text)
	}
	if got := response.Header.Get("Cache-Control"); got != "private, max-age=30" {
		t.Errorf("Cache-Control %q", got)
	}
}
