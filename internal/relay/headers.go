package relay

import (
	"net/http"
	"strings"
)

// hopByHop are the headers of one connection (RFC 9110, section 7.6.1); they
// are not passed on. The length and coding of a body are set anew for each
// connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// endToEnd returns a copy of headers without those of one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// copyAnswer sets the headers of a server's answer for the caller. net/http
// adds a date and a guessed content type to answers without; an empty entry
// keeps it from doing so.
func copyAnswer(to, from http.Header) {
	for name, values := range endToEnd(from) {
		to[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := to[name]; !ok {
			to[name] = nil
		}
	}
}
