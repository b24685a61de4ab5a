package daemon

import (
	"context"
	"encoding/base32"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/answers"
	"basilrudder/internal/callers"
	"basilrudder/internal/catalog"
	"basilrudder/internal/monotime"
	"basilrudder/internal/node"
	"basilrudder/internal/reqid"
	"basilrudder/internal/verdict"
)

// homeRetryAfter is the Retry-After for callers when the home of their request is
// unreachable: the process that the request id is bound to. A shorter one adds retries, a
// longer one delays the caller after the home has become reachable.
const homeRetryAfter = time.Second

// probeTimeout bounds the connection attempt that determines whether an unresponsive home
// has exited. The caller waits for it. If it is too short, a home that has exited is
// reported as unreachable instead of gone.
const probeTimeout = 300 * time.Millisecond

// backend implements callers.Backend with the node and the stored answers.
type backend struct {
	self        reqid.Incarnation
	dataCentre  string
	node        *node.Node
	dispatcher  *dispatcher
	answerStore *answers.Store
}

// Catalog implements callers.Backend.
func (b *backend) Catalog() *catalog.Catalog {
	return b.node.Catalog()
}

// Submit implements callers.Backend.
func (b *backend) Submit(_ context.Context, in *callers.Request) (*answers.Log, string, *verdict.Error) {
	now := monotime.Now()
	id, err := b.requestID(in)
	if err != nil {
		return nil, "", err
	}
	key := answers.Key{Customer: in.Customer.Name, ID: id.Text}
	begin := answers.Request{
		Fingerprint: in.Fingerprint,
		Expires:     monotime.Instant(id.Expiry),
	}
	log, created, err := b.answerStore.Begin(now, key, begin)
	if err != nil || !created {
		return log, id.Text, err
	}
	if err := b.admit(now, in, key, log); err != nil {
		log.Close(err)
		b.answerStore.Remove(key)
		return nil, id.Text, err
	}
	return log, id.Text, nil
}

// admit submits the request to the node. The request is registered with the dispatcher
// first because the node may start it before Submit returns.
func (b *backend) admit(now monotime.Instant, in *callers.Request, key answers.Key, log *answers.Log) *verdict.Error {
	h := &activeRequest{request: in, log: log, key: key}
	if !b.dispatcher.register(h) {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonUnknownRequest, "the request id is in use")
	}
	_, err := b.node.Submit(now, node.Request{
		ID:           key.ID,
		Customer:     in.Customer,
		Class:        in.Class,
		PromptTokens: in.PromptTokens,
		Prefix:       in.Prefix,
	})
	if err != nil {
		b.dispatcher.unregister(key.ID)
		return err
	}
	return nil
}

// requestID returns the id under which the request runs. An id of the caller's own making
// is replaced by a new one. The caller interface accepts such ids for idempotent classes
// only, where nothing depends on the id.
func (b *backend) requestID(in *callers.Request) (reqid.ID, *verdict.Error) {
	if id, err := reqid.Parse(in.ID); err == nil {
		return id, nil
	}
	id, err := reqid.Parse(b.newID())
	if err != nil {
		return reqid.ID{}, verdict.Wrap(verdict.NotRun, verdict.ReasonInternal, err)
	}
	return id, nil
}

// newID returns a new request id bound to this process.
func (b *backend) newID() string {
	prefix, _ := b.self.Prefix(time.Now(), node.IDLifetime)
	return prefix + newNonce()
}

var nonceEncoding = base32.HexEncoding.WithPadding(base32.NoPadding)

// newNonce returns a random nonce. It need not be secret because an answer is returned only
// to the credential of its customer.
func newNonce() string {
	var raw [10]byte
	binary.LittleEndian.PutUint64(raw[:], rand.Uint64())
	binary.LittleEndian.PutUint16(raw[8:], uint16(rand.Uint32()))
	return nonceEncoding.EncodeToString(raw[:])
}

// CallerGone implements callers.Backend.
func (b *backend) CallerGone(customer *catalog.Customer, id string) {
	if _, ok := b.Find(customer.Name, id); ok {
		b.node.CallerGone(monotime.Now(), id)
	}
}

// Delivered implements callers.Backend.
func (b *backend) Delivered(customer *catalog.Customer, id string) {
	if _, ok := b.Find(customer.Name, id); ok {
		b.node.Delivered(monotime.Now(), id)
	}
}

// Refused implements callers.Backend.
func (b *backend) Refused(customer *catalog.Customer, class *catalog.Class, id string, err *verdict.Error) {
	if id == "" {
		id = b.newID()
	}
	b.node.RecordRefused(monotime.Now(), node.Request{ID: id, Customer: customer, Class: class}, err)
}

// Find implements callers.Backend.
func (b *backend) Find(customer, id string) (*answers.Log, bool) {
	return b.answerStore.Find(answers.Key{Customer: customer, ID: id})
}

// Home implements callers.Backend.
func (b *backend) Home(id string) (address string, local bool, err *verdict.Error) {
	parsed, parseErr := reqid.Parse(id)
	if parseErr != nil {
		return "", false, verdict.Wrap(verdict.NotRun, verdict.ReasonUnboundKey, parseErr)
	}
	if parsed.Incarnation == b.self {
		return "", true, nil
	}
	view := b.node.View()
	if view == nil {
		return "", false, homeUnreachable()
	}
	member, ok := view.Find(parsed.Instance)
	missing, unresponsive := view.FindMissing(parsed.Instance, parsed.Token)
	switch {
	case ok && member.Incarnation == parsed.Token:
		return member.CallerAddress, false, nil
	// "Gone" is final: the caller then treats the answer as lost. It is returned only for a
	// process that has certainly exited. An unresponsive process may be paused or on the
	// other side of a partition, and an instance without a confirmed view, after its start
	// or a pause, may not have received the member yet.
	case !view.Confirmed, unresponsive && !hasExited(missing.CallerAddress):
		return "", false, homeUnreachable()
	default:
		return "", false, verdict.New(verdict.MayHaveRun, verdict.ReasonHomeGone,
			"the process that the request id is bound to is gone")
	}
}

// hasExited reports whether nothing listens at the address of an unresponsive process. The
// connection is refused only then: for a stopped process the host accepts it, and across
// a partition the attempt times out.
func hasExited(address string) bool {
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func homeUnreachable() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonHomeUnreachable,
		"the process that the request id is bound to can't be reached now").After(homeRetryAfter)
}
