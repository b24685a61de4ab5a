// Package reqid implements request ids that are bound to one incarnation of one instance.
//
// Only the incarnation in the id may start the request. Every other instance forwards the
// request to it, and if it is gone the verdict is that the request may have run. An id that
// any instance may start would require a shared record of the ids in use, and there is
// none.
//
// An id has the form instance:incarnation:expiry:nonce. The directory issues the prefix up
// to the nonce. The caller appends its own nonce for each request, so it has the id before
// it sends the request and can retry under it.
package reqid

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// separator, base and partCount define the form of an id. If they change, ids that
	// callers hold are refused or misread.
	separator = ":"
	base      = 36
	partCount = 4
	// maxNonceLen and maxIDLen are in bytes. They limit what a caller can make the instances
	// store and forward with each request; smaller limits refuse longer ids in use.
	maxNonceLen = 64
	maxIDLen    = 200
	// maxClockSkew is how far the clock of the instance that issues a prefix may be ahead of
	// the clock of the instance in the prefix. If it is further ahead, valid ids are refused
	// as ClaimTooFar. A larger tolerance lets a Table hold ids for longer.
	maxClockSkew = time.Minute
)

// ErrMalformed is returned by Parse for text that is not a request id.
var ErrMalformed = errors.New("request id is not of the form instance:incarnation:expiry:nonce")

// Incarnation identifies one process of one instance.
type Incarnation struct {
	// Instance is the id in the instance list.
	Instance string
	// Token is unique to the process. It begins with the start time of the process.
	Token string
}

// NewIncarnation returns the incarnation of a process started at the given wall-clock
// time. salt is a random number that distinguishes two starts in the same millisecond.
func NewIncarnation(instance string, started time.Time, salt uint32) Incarnation {
	ms := strconv.FormatInt(started.UnixMilli(), base)
	return Incarnation{Instance: instance, Token: ms + "." + strconv.FormatUint(uint64(salt), base)}
}

// Started returns the wall-clock start time in the token, and false if the token has none.
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

// Prefix returns the id prefix to which a caller appends a nonce, and false if the token
// has no start time. The expiry is an uptime of the process: its uptime now by the
// issuer's wall clock, plus lifetime.
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
	// Incarnation is the only one that may start the request.
	Incarnation
	// Expiry is the uptime of that process from which on the id is refused.
	Expiry time.Duration
	// Nonce is chosen by the caller.
	Nonce string
	// Text is the complete id.
	Text string
}

// Parse parses a request id. It returns ErrMalformed for any other text.
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
