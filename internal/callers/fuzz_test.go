package callers

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// scriptConn sends its script to the server and collects the responses.
type scriptConn struct {
	script *strings.Reader
	out    bytes.Buffer
}

func (c *scriptConn) Read(p []byte) (int, error) {
	if c.script.Len() == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return c.script.Read(p)
}

func (c *scriptConn) Write(p []byte) (int, error)      { return c.out.Write(p) }
func (c *scriptConn) Close() error                     { return nil }
func (c *scriptConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *scriptConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *scriptConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzRequest sends arbitrary bytes. The server must answer with valid HTTP or close the
// connection, and must not submit a request without the credential.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(rawRequest("draft", chatBodyWhole)))
	f.Add([]byte(rawRequest("draft", chatBodyStream, HeaderRequestID, "local-1") + rawRequest("draft", chatBodyWhole)))
	f.Add([]byte("GET /v1/requests/local-1/answer?offset=1 HTTP/1.1\r\nHost: x\r\nLast-Event-ID: 2\r\n\r\n"))
	f.Add([]byte("GET /v1/services/registry/ HTTP/1.0\r\nX-Request-Class: lookup\r\nX-Request-Class: draft\r\n\r\n"))
	f.Add([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		backend := newFakeBackend(serveTokens("a", "b"))
		server := NewServer(Config{BodyBytes: 4 << 10, HeaderBytes: 4 << 10}, backend)
		defer server.cancel()
		script := &scriptConn{script: strings.NewReader(string(raw))}
		c := &conn{Conn: script, stallTimeout: time.Minute, onClose: func() {}}
		_ = server.http.ServeConn(c)
		_ = c.Close()
		checkResponses(t, script.out.Bytes())
		if !bytes.Contains(raw, []byte(credential)) && len(backend.requests()) > 0 {
			t.Error("a request without the credential was submitted")
		}
	})
}

func checkResponses(t *testing.T, out []byte) {
	t.Helper()
	reader := bufio.NewReader(bytes.NewReader(out))
	for {
		if _, err := reader.Peek(1); err == io.EOF {
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%v in %q", err, out)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return // the answer to a HEAD, or a truncated one: nothing follows
		}
	}
}

func FuzzChatBody(f *testing.F) {
	f.Add([]byte(chatBodyWhole))
	f.Add([]byte(chatBodyStream))
	f.Add([]byte(` {"model":"m1","messages":[{}],"max_tokens":3,"prompt_tokens":5,"prefix":"p"} `))
	f.Add([]byte(`{"messages":[1],"max_completion_tokens":0}`))
	f.Add([]byte(`{"MESSAGES":[null],"prefix":"\u0022"}`))
	class := testCatalog().Classes["draft"]
	f.Fuzz(func(t *testing.T, raw []byte) {
		request, err := parseChat(raw, class)
		if err != nil {
			return
		}
		var sent chatBody
		if err := json.Unmarshal(request.body, &sent); err != nil {
			t.Fatalf("the body for the engine is not valid JSON: %v in %q", err, request.body)
		}
		if sent.Model != class.Target || sent.Prefix == "" || len(sent.Messages) == 0 {
			t.Errorf("the body for the engine is incomplete: %+v", sent)
		}
		if request.maxTokens < 1 || request.maxTokens > class.MaxOutputTokens || request.promptTokens < 0 {
			t.Errorf("%+v", request)
		}
	})
}

func FuzzJSONString(f *testing.F) {
	f.Add("plain")
	f.Add("\"\\\n\r\t\x00\x1f\u2028é☀")
	f.Add("\xff\xc3(")
	f.Fuzz(func(t *testing.T, s string) {
		var got string
		if err := json.Unmarshal(appendJSONString(nil, s), &got); err != nil {
			t.Fatal(err)
		}
		// Each invalid byte becomes one U+FFFD, as in a conversion to runes.
		if want := string([]rune(s)); got != want {
			t.Errorf("%q became %q", s, got)
		}
	})
}

// An engine may split a character between two tokens. Encoded one by one, both halves
// would be replaced by U+FFFD.
func TestSplitCharacterIsWholeInTheCompletion(t *testing.T) {
	sun := "☀"
	backend := newFakeBackend(serveTokens(sun[:1], sun[1:]))
	address := startServer(t, Config{}, backend)
	text := readAll(t, send(t, "POST", address, pathChat, chatBodyWhole, HeaderClass, "draft"))
	if !strings.Contains(text, sun) {
		t.Error(text)
	}
}
