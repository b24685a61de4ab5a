package relay

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers of a single connection (RFC 9110, section 7.6.1), which are
// not passed on. Length and transfer coding of a body are set anew for each connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// endToEnd returns a copy of the headers without those of a single connection.
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

// copyAnswer copies a server's headers to the caller's answer. net/http adds a date and a
// guessed content type to answers that lack them; a nil entry prevents that.
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
