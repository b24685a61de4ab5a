package trial

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"basilrudder/internal/schema/callerapi"
)

// result is what a caller saw of one call.
type result struct {
	id, class string
	tokens    int
	status    int
	verdict   string
	reason    string
	text      string
	whole     bool
	// hadRun says that a stand-in had started the request when it was refused.
	hadRun bool
}

func (r *result) once() bool  { return r.class == classLetter || r.class == classReceipt }
func (r *result) model() bool { return r.class == classLetter || r.class == classDraft }

// caller is one streamed call under way.
type caller struct {
	w      *world
	cancel context.CancelFunc
	body   io.Closer
	lines  *bufio.Reader
	r      *result
}

// boundID returns a new request id bound to a member, as the member's own
// directory answer gives it.
func (w *world) boundID(m *Member) string {
	w.t.Helper()
	var directory callerapi.Directory
	_, body := w.get(m, "/v1/directory")
	if err := json.Unmarshal(body, &directory); err != nil {
		w.t.Fatal(err)
	}
	for _, instance := range directory.Instances {
		if instance.ID == m.ID {
			return fmt.Sprintf("%sn%d", instance.IDPrefix, w.calls.nonce())
		}
	}
	w.t.Fatalf("the directory of %s does not name it", m.ID)
	return ""
}

func (w *world) request(ctx context.Context, m *Member, method, path, class, id, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.Callers+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+CredentialPrefix+testCustomer)
	if class != "" {
		req.Header.Set("X-Request-Class", class)
	}
	if id != "" {
		req.Header.Set("X-Request-Id", id)
	}
	return (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
}

func (w *world) get(m *Member, path string) (*http.Response, []byte) {
	w.t.Helper()
	resp, err := w.request(w.ctx, m, http.MethodGet, path, "", "", "")
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		w.t.Fatal(err)
	}
	return resp, body
}

// stream sends a model request and returns when the answer has begun, or was
// refused.
func (w *world) stream(m *Member, class, id string, tokens int) *caller {
	body := fmt.Sprintf(`{"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, tokens)
	c := w.open(m, http.MethodPost, "/v1/chat/completions", class, id, body)
	c.r.tokens = tokens
	return c
}

// resume streams the answer of an earlier call.
func (w *world) resume(m *Member, class, id string, offset, tokens int) *caller {
	c := w.open(m, http.MethodGet, fmt.Sprintf("/v1/requests/%s/answer?offset=%d", id, offset), class, id, "")
	c.r.tokens = tokens
	return c
}

// service calls the application server.
func (w *world) service(m *Member, class, id string) *result {
	c := w.open(m, http.MethodPost, "/v1/services/registry/x", class, id, "{}")
	defer c.leave()
	if c.r.status != http.StatusOK {
		return c.r
	}
	body, err := io.ReadAll(c.lines)
	c.r.whole = err == nil
	c.r.text = string(body)
	return c.r
}

func (w *world) open(m *Member, method, path, class, id, body string) *caller {
	ctx, cancel := context.WithCancel(w.ctx)
	c := &caller{w: w, cancel: cancel, r: &result{id: id, class: class}}
	w.calls.add(c.r)
	resp, err := w.request(ctx, m, method, path, class, id, body)
	if err != nil {
		cancel()
		return c
	}
	c.body = resp.Body
	c.lines = bufio.NewReader(resp.Body)
	c.r.status = resp.StatusCode
	c.r.id = resp.Header.Get("X-Request-Id")
	c.r.verdict = resp.Header.Get("X-Verdict")
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		c.refused(data)
	}
	return c
}

func (c *caller) refused(data []byte) {
	var refusal callerapi.Refusal
	if json.Unmarshal(data, &refusal) == nil {
		c.r.verdict = string(refusal.Error.Verdict)
		c.r.reason = string(refusal.Error.Reason)
		c.r.hadRun = len(c.w.runs(c.r.id))+c.w.filed(c.r.id) > 0
	}
}

// next reads one event; it returns false at the end of the answer.
func (c *caller) next() bool {
	if c.lines == nil || c.r.status != http.StatusOK {
		return false
	}
	failed := false
	for {
		line, err := c.lines.ReadString('\n')
		if err != nil {
			return false
		}
		line = strings.TrimSpace(line)
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			failed = true
		case !isData:
		case failed:
			c.refused([]byte(data))
			return false
		case data == "[DONE]":
			c.r.whole = true
			return false
		default:
			c.r.text += content(data)
			return true
		}
	}
}

func content(data string) string {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

// read reads so many tokens.
func (c *caller) read(tokens int) {
	c.w.t.Helper()
	for i := range tokens {
		if !c.next() {
			c.w.t.Fatalf("the answer ended after %d tokens: %+v", i, c.r)
		}
	}
}

// rest reads to the end.
func (c *caller) rest() *result {
	for c.next() {
	}
	c.leave()
	return c.r
}

// leave closes the caller's connection.
func (c *caller) leave() {
	c.cancel()
	if c.body != nil {
		_ = c.body.Close()
	}
}

// wantWhole fails the test unless the whole answer came.
func (r *result) wantWhole(w *world) {
	w.t.Helper()
	if !r.whole {
		w.t.Errorf("the answer is not whole: %+v", r)
	}
}
