// Package reqid binds request ids to one incarnation of one instance.
//
// Only the incarnation that an id names may start the request. Every other
// instance forwards to it, and when it is gone the honest verdict is that the
// request may have run. A key that any instance may run would need a shared
// record to be safe, and there is none.
//
// Form: instance:incarnation:expiry:nonce. The directory hands out the part up
// to the nonce; the caller appends a nonce of its own for each request, so that
// it knows the id before it sends anything.
package reqid

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	separator   = ":"
	base        = 36
	partCount   = 4
	maxNonceLen = 64
	maxIDLen    = 200
	// maxClockSkew is the skew tolerated between the clock of the instance that
	// issued a prefix and that of the instance it names.
	maxClockSkew = time.Minute
)

// ErrMalformed is returned for text that is not a request id.
var ErrMalformed = errors.New("request id is not of the form instance:incarnation:expiry:nonce")

// Incarnation names one process of one instance.
type Incarnation struct {
	// Instance is the id in the instance list.
	Instance string
	// Token is unique to the process; it starts with its start time.
	Token string
}

// NewIncarnation returns the incarnation of a process started at the given
// wall-clock time; salt is a random number that separates two starts within
// the same millisecond.
func NewIncarnation(instance string, started time.Time, salt uint32) Incarnation {
	ms := strconv.FormatInt(started.UnixMilli(), base)
	return Incarnation{Instance: instance, Token: ms + "." + strconv.FormatUint(uint64(salt), base)}
}

// Started returns the wall-clock start time that the token carries.
func (inc Incarnation) Started() (time.Time, bool) {
	text, _, ok := strings.Cut(inc.Token, ".")
	if !ok {
		return time.Time{}, false
	}
	ms, err := strconv.ParseInt(text, base, 64)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(ms), true
}

// Prefix returns the text to which a caller appends a nonce. The expiry is an
// uptime of the named process: lifetime from now by the issuer's wall clock.
func (inc Incarnation) Prefix(now time.Time, lifetime time.Duration) (string, bool) {
	started, ok := inc.Started()
	if !ok {
		return "", false
	}
	uptime := max(now.Sub(started), 0) + lifetime
	expiry := strconv.FormatInt(int64(uptime/time.Second), base)
	return inc.Instance + separator + inc.Token + separator + expiry + separator, true
}

// ID is a parsed request id.
type ID struct {
	// Incarnation that alone may start the request.
	Incarnation
	// Expiry is the uptime of that process after which the id is refused.
	Expiry time.Duration
	// Nonce was chosen by the caller.
	Nonce string
	// Text is the whole id.
	Text string
}

// Parse reads an id.
func Parse(text string) (ID, error) {
	if len(text) > maxIDLen {
		return ID{}, ErrMalformed
	}
	parts := strings.Split(text, separator)
	if len(parts) != partCount {
		return ID{}, ErrMalformed
	}
	seconds, err := strconv.ParseInt(parts[2], base, 32)
	if err != nil || seconds < 0 {
		return ID{}, ErrMalformed
	}
	if parts[0] == "" || parts[1] == "" || !validNonce(parts[3]) {
		return ID{}, ErrMalformed
	}
	return ID{
		Incarnation: Incarnation{Instance: parts[0], Token: parts[1]},
		Expiry:      time.Duration(seconds) * time.Second,
		Nonce:       parts[3],
		Text:        text,
	}, nil
}

func validNonce(nonce string) bool {
	if nonce == "" || len(nonce) > maxNonceLen {
		return false
	}
	for _, r := range nonce {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_'
		if !ok {
			return false
		}
	}
	return true
}
