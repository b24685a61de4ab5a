package tunnel

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/go-faster/errors"
)

// Path is the HTTP path of tunnels on the listener for peers.
const Path = "/v1/tunnel"

// upgradeProtocol is the protocol to which a tunnel's connection is switched.
const upgradeProtocol = "basilrudder-tunnel"

// Headers of the request for a tunnel and of its answer.
const (
	headerInstance    = "Basilrudder-Instance"
	headerIncarnation = "Basilrudder-Incarnation"
	headerServer      = "Basilrudder-Server"
	headerTunnel      = "Basilrudder-Tunnel"
	headerToken       = "Basilrudder-Token"
	headerReason      = "Basilrudder-Reason"
)

// Errors of a tunnel that a peer did not open. None has sent the server anything.
var (
	// ErrUnreachable reports that the peer can't connect to the server either.
	ErrUnreachable = errors.New("peer can't reach the server")
	// ErrRefused is an ErrUnreachable of a server that refuses connections.
	ErrRefused = errors.Wrap(ErrUnreachable, "server refuses connections")
	// ErrCutOff reports that the peer itself reaches the service only through others.
	ErrCutOff = errors.New("peer is cut off from the service")
	// ErrBusy reports that the peer has no capacity for a further tunnel.
	ErrBusy = errors.New("peer has no capacity")
	// ErrLeaving reports that the peer is shutting down.
	ErrLeaving = errors.New("peer is leaving")
	// ErrUnknownServer reports that the peer does not know the server.
	ErrUnknownServer = errors.New("peer does not know the server")
	// ErrUnauthenticated reports that the peer does not accept the token.
	ErrUnauthenticated = errors.New("peer does not accept the token")
	errInvalidFrame    = errors.New("tunnel: frame is too long")
)

// reasons are the errors by their text in answers.
var reasons = map[string]error{
	"unreachable":     ErrUnreachable,
	"refused":         ErrRefused,
	"cut off":         ErrCutOff,
	"busy":            ErrBusy,
	"leaving":         ErrLeaving,
	"unknown server":  ErrUnknownServer,
	"unauthenticated": ErrUnauthenticated,
}

// reasonText returns the text of an error in answers. Errors of no other kind mean that
// the server could not be reached.
func reasonText(err error) string {
	if errors.Is(err, ErrRefused) {
		return "refused"
	}
	for text, reason := range reasons {
		if errors.Is(err, reason) {
			return text
		}
	}
	return "unreachable"
}

// Instance identifies one process.
type Instance struct {
	ID          string
	Incarnation string
}

// token returns the HMAC that proves the secret of the fleet. It is valid for one pair of
// processes and one server only.
func token(secret string, from, to Instance, server, tunnel string) string {
	mac := hmac.New(sha256.New, []byte(secret))
	for _, field := range []string{"basilrudder tunnel", from.ID, from.Incarnation, to.ID, to.Incarnation, server, tunnel} {
		// Writes to a hash never fail.
		_, _ = mac.Write([]byte(strconv.Itoa(len(field)) + ":" + field))
	}
	return hex.EncodeToString(mac.Sum(nil))
}
