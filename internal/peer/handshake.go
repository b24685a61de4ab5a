package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"basilrudder/internal/schema/wire"
)

// Protocol versions that this release supports. Peers use the highest version that both
// support; an older release ignores fields that were added later.
const (
	Version    = versionCompressed
	MinVersion = 1

	// versionCompressed is the first version with compressed frames.
	versionCompressed = 2
)

// nonceBytes is the size of a nonce. Shorter nonces may repeat, and a recorded signature
// could then be replayed.
const nonceBytes = 16

// Errors of the handshake.
var (
	// ErrUnauthenticated reports that the peer did not prove an accepted key.
	ErrUnauthenticated = errors.New("peer did not prove an accepted key")
	// ErrVersion reports that the peers have no protocol version in common.
	ErrVersion = errors.New("no common protocol version")
	// ErrHandshake reports that a message of the handshake is missing or has an invalid ID.
	ErrHandshake = errors.New("handshake message missing")
	// ErrSelf reports that the peer is this instance or another process with its ID.
	ErrSelf = errors.New("peer has this instance's ID")
)

// Key is a shared secret that instances prove to each other.
type Key struct {
	// ID identifies the key in the handshake.
	ID string
	// Secret is shared by all instances.
	Secret string
}

// Identity describes an instance to its peers in the handshake.
type Identity struct {
	// ID of the instance.
	ID string
	// Incarnation of the process.
	Incarnation string
	// DataCentre in which the instance is located.
	DataCentre string
	// CallerAddress and PeerAddress are host and port.
	CallerAddress, PeerAddress string
	// Capacity is the CPU share in thousandths of a core; 0 when it is not reported.
	Capacity int
}

// role is part of each signature, so a peer cannot reflect one side's signature as its own.
type role string

const (
	roleDialer   role = "dialer"
	roleAcceptor role = "acceptor"
)

// envelopeConn is a connection during the handshake.
type envelopeConn interface {
	writeEnvelope(env *wire.Envelope) error
	readEnvelope() (*wire.Envelope, error)
}

// handshakeResult is the outcome of a handshake.
type handshakeResult struct {
	peer    Identity
	version int
	keyID   string // key of the peer's signature
}

func newHello(self Identity, key Key, nonce string) *wire.Hello {
	return &wire.Hello{
		Version:       Version,
		MinVersion:    MinVersion,
		ID:            self.ID,
		Incarnation:   self.Incarnation,
		DataCentre:    self.DataCentre,
		CallerAddress: self.CallerAddress,
		PeerAddress:   self.PeerAddress,
		Capacity:      self.Capacity,
		KeyID:         key.ID,
		Nonce:         nonce,
	}
}

func newNonce() string {
	b := make([]byte, nonceBytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// sign returns the HMAC of both hellos. It covers the nonces of both sides, so a recorded
// signature cannot be replayed. Each field is prefixed with its length, so different
// fields never give the same input.
func sign(key Key, signer role, dialer, acceptor *wire.Hello) string {
	mac := hmac.New(sha256.New, []byte(key.Secret))
	fields := []string{"basilrudder peer link", string(signer), key.ID}
	for _, h := range []*wire.Hello{dialer, acceptor} {
		fields = append(fields, strconv.Itoa(h.Version), strconv.Itoa(h.MinVersion),
			h.ID, h.Incarnation, h.DataCentre, h.CallerAddress, h.PeerAddress, strconv.Itoa(h.Capacity), h.KeyID, h.Nonce)
	}
	for _, field := range fields {
		mac.Write([]byte(strconv.Itoa(len(field))))
		mac.Write([]byte{':'})
		mac.Write([]byte(field))
	}
	return hex.EncodeToString(mac.Sum(nil))
}

func verify(keys []Key, id string, mac string, signer role, dialer, acceptor *wire.Hello) error {
	for _, key := range keys {
		if key.ID == id && hmac.Equal([]byte(mac), []byte(sign(key, signer, dialer, acceptor))) {
			return nil
		}
	}
	return errors.Wrapf(ErrUnauthenticated, "key %q", id)
}

// handshakeAsDialer runs the handshake on the side that opened the connection. The messages
// are: hello, hello with signature, signature.
func handshakeAsDialer(conn envelopeConn, self Identity, keys []Key) (handshakeResult, error) {
	mine := newHello(self, keys[0], newNonce())
	if err := conn.writeEnvelope(&wire.Envelope{Hello: mine}); err != nil {
		return handshakeResult{}, err
	}
	theirs, err := readHello(conn)
	if err != nil {
		return handshakeResult{}, err
	}
	if err := verify(keys, theirs.KeyID, theirs.MAC, roleAcceptor, mine, theirs); err != nil {
		return handshakeResult{}, err
	}
	proof := *mine
	proof.MAC = sign(keys[0], roleDialer, mine, theirs)
	if err := conn.writeEnvelope(&wire.Envelope{Hello: &proof}); err != nil {
		return handshakeResult{}, err
	}
	return negotiate(self, theirs)
}

// handshakeAsAcceptor runs the handshake on the side that accepted the connection.
func handshakeAsAcceptor(conn envelopeConn, self Identity, keys []Key) (handshakeResult, error) {
	theirs, err := readHello(conn)
	if err != nil {
		return handshakeResult{}, err
	}
	mine := newHello(self, keys[0], newNonce())
	mine.MAC = sign(keys[0], roleAcceptor, theirs, mine)
	if err := conn.writeEnvelope(&wire.Envelope{Hello: mine}); err != nil {
		return handshakeResult{}, err
	}
	proof, err := readHello(conn)
	if err != nil {
		return handshakeResult{}, err
	}
	if err := verify(keys, theirs.KeyID, proof.MAC, roleDialer, theirs, mine); err != nil {
		return handshakeResult{}, err
	}
	return negotiate(self, theirs)
}

func readHello(conn envelopeConn) (*wire.Hello, error) {
	env, err := conn.readEnvelope()
	if err != nil {
		return nil, err
	}
	if env.Hello == nil {
		return nil, ErrHandshake
	}
	return env.Hello, nil
}

// negotiate selects the protocol version and validates the peer's ID.
func negotiate(self Identity, theirs *wire.Hello) (handshakeResult, error) {
	version := min(Version, theirs.Version)
	if version < max(MinVersion, theirs.MinVersion) {
		return handshakeResult{}, errors.Wrapf(ErrVersion, "peer supports versions %d to %d", theirs.MinVersion, theirs.Version)
	}
	if theirs.ID == self.ID {
		return handshakeResult{}, ErrSelf
	}
	if theirs.ID == "" || strings.HasPrefix(theirs.ID, seedPrefix) {
		return handshakeResult{}, ErrHandshake
	}
	return handshakeResult{
		peer: Identity{
			ID:            theirs.ID,
			Incarnation:   theirs.Incarnation,
			DataCentre:    theirs.DataCentre,
			CallerAddress: theirs.CallerAddress,
			PeerAddress:   theirs.PeerAddress,
			Capacity:      theirs.Capacity,
		},
		version: version,
		keyID:   theirs.KeyID,
	}, nil
}
