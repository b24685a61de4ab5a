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

// Protocol versions that this release speaks. Two releases that run side by
// side use the highest that both speak; parts an old one does not know are
// ignored by it.
const (
	Version    = versionCompressed
	MinVersion = 1

	// versionCompressed is the first whose frames may be compressed.
	versionCompressed = 2
)

const nonceBytes = 16

// Errors of the handshake.
var (
	// ErrUnauthenticated means that the other side did not prove an accepted key.
	ErrUnauthenticated = errors.New("peer did not prove an accepted key")
	// ErrVersion means that no protocol version is common to both.
	ErrVersion = errors.New("no common protocol version")
	// ErrHandshake means that a message of the handshake was missing.
	ErrHandshake = errors.New("handshake message missing")
	// ErrSelf means that the link leads to this instance itself or to another
	// process that uses its id.
	ErrSelf = errors.New("peer has this instance's id")
)

// Key is a shared secret that instances prove to each other.
type Key struct {
	// ID names the key in the handshake.
	ID string
	// Secret is shared by all instances.
	Secret string
}

// Identity is what an instance tells of itself when a link opens.
type Identity struct {
	// ID of the instance.
	ID string
	// Incarnation of the process.
	Incarnation string
	// DataCentre the instance stands in.
	DataCentre string
	// CallerAddress and PeerAddress are host and port.
	CallerAddress, PeerAddress string
	// Capacity is the processor share in thousandths of a core; 0 when it is not told.
	Capacity int
}

// role separates the two signatures of a handshake, so that one side's cannot
// be sent back to it as the other's.
type role string

const (
	roleDialer   role = "dialer"
	roleAcceptor role = "acceptor"
)

// envelopeConn is a connection before it is a link.
type envelopeConn interface {
	writeEnvelope(env *wire.Envelope) error
	readEnvelope() (*wire.Envelope, error)
}

// handshakeResult is the outcome of a handshake.
type handshakeResult struct {
	peer    Identity
	version int
	keyID   string // the other side signed with it
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

// sign proves the key over all that both sides said. The other side's nonce is
// in it, so a recorded signature is worth nothing.
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

// handshakeAsDialer runs the handshake from the side that opened the connection:
// hello, hello with signature, signature.
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

// handshakeAsAcceptor runs the handshake from the side that was connected to.
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

func negotiate(self Identity, theirs *wire.Hello) (handshakeResult, error) {
	version := min(Version, theirs.Version)
	if version < max(MinVersion, theirs.MinVersion) {
		return handshakeResult{}, errors.Wrapf(ErrVersion, "peer speaks %d to %d", theirs.MinVersion, theirs.Version)
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
