package callers

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against chunks in answers to HTTP/1.0, which its callers read as text of the answer.
func TestStreamsToHTTP10AreReadable(t *testing.T) {
	home := startServer(t, Config{}, newFakeBackend(serveTokens("a", "b")))
	for name, address := range map[string]string{
		"own":     home,
		"relayed": startServer(t, Config{}, relayTo(home)),
	} {
		c := dial(t, address)
		request := rawRequest("letter", chatBodyStream, HeaderRequestID, "local-"+name)
		_, _ = io.WriteString(c, strings.Replace(request, "HTTP/1.1", "HTTP/1.0", 1))
		reader := bufio.NewReader(c)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if response.TransferEncoding != nil || response.ContentLength < 0 {
			t.Errorf("%s: encoding %v, length %d", name, response.TransferEncoding, response.ContentLength)
		}
		events, err := readEvents(response.Body)
		if err != nil || len(events) != 3 || events[2].data != "[DONE]" {
			t.Errorf("%s: %+v, %v", name, events, err)
		}
		_ = c.Close()
	}
}
