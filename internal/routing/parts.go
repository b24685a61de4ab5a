package routing

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Part is an encoded part of a configuration.
type Part struct {
	// Key identifies the part within its configuration.
	Key string
	// Data is the CBOR encoding.
	Data []byte
}

// Keys of parts. Those of routes and customers end with a number. Instances exchange the
// keys, so all must use the same.
const (
	generalKey     = "general"
	routesPrefix   = "routes/"
	customerPrefix = "customers/"
)

const (
	// meanPartItems is the mean number of routes or customers in a part. A larger number sends
	// more unchanged items with each change, a smaller one more parts.
	meanPartItems = 64
	// maxPartItems bounds the number of routes or customers in a part, if no hash ends it.
	// Closer to the mean, more borders depend on the items before and shift with them.
	maxPartItems = 4 * meanPartItems
	// maxElements bounds each array and map in a part received from a peer. A part with more
	// is rejected, so it must be at least maxPartItems and the number of services.
	maxElements = 1 << 16
)

// general holds the content of a configuration besides routes and customers.
type general struct {
	Services     []Service `cbor:"1,keyasint,omitempty"`
	Limits       Limits    `cbor:"2,keyasint,omitempty"`
	KeysRequired bool      `cbor:"3,keyasint,omitempty"`
}

// Parts encodes a configuration without its version. The borders between parts are defined
// by the content: they depend only on the adjacent routes or customers. So most parts stay
// the same when some items are changed, added or removed.
func (c *Config) Parts() ([]Part, error) {
	out, err := appendPart(nil, generalKey, general{c.Services, c.Limits, c.KeysRequired})
	if err != nil {
		return nil, err
	}
	for n, run := range split(c.Routes, func(r *Route) string { return r.Host + r.Prefix }) {
		if out, err = appendPart(out, fmt.Sprint(routesPrefix, n), run); err != nil {
			return nil, err
		}
	}
	for n, run := range split(c.Customers, func(c *Customer) string { return c.Name }) {
		if out, err = appendPart(out, fmt.Sprint(customerPrefix, n), run); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func appendPart(out []Part, key string, value any) ([]Part, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return nil, errors.Wrapf(err, "encode configuration part %q", key)
	}
	return append(out, Part{key, data}), nil
}

// split cuts a list after each item whose name hashes to a multiple of meanPartItems, and
// after maxPartItems items at the latest.
func split[T any](items []T, name func(*T) string) (out [][]T) {
	start := 0
	for i := range items {
		hash := fnv.New32a()
		hash.Write([]byte(name(&items[i])))
		length := i + 1 - start
		if hash.Sum32()%meanPartItems == 0 || length == maxPartItems || i+1 == len(items) {
			out = append(out, items[start:i+1])
			start = i + 1
		}
	}
	return out
}

// Assembler decodes parts to configurations. It caches the parts of the last configuration,
// so that unchanged parts are not decoded again. It is not safe for concurrent use.
type Assembler struct {
	cache map[string]decoded // by contentID
}

// decoded is a part's data and its decoded content.
type decoded struct {
	data      []byte
	general   *general
	routes    []Route
	customers []Customer
}

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Assemble decodes the parts that Parts returned, as the configuration of the given version.
// The parts must not be changed afterwards, as the Assembler keeps them. It returns an error
// if a part has an unknown key or can't be decoded.
func (a *Assembler) Assemble(version int64, parts []Part) (*Config, error) {
	used := make(map[string]decoded, len(parts))
	out := &Config{Version: version}
	for _, part := range parts {
		id := part.contentID()
		cached, ok := a.cache[id]
		if !ok || !bytes.Equal(cached.data, part.Data) {
			var err error
			if cached, err = decodePart(part); err != nil {
				return nil, err
			}
		}
		used[id] = cached
		if cached.general != nil {
			out.Services, out.Limits, out.KeysRequired = cached.general.Services, cached.general.Limits, cached.general.KeysRequired
		}
		out.Routes = append(out.Routes, cached.routes...)
		out.Customers = append(out.Customers, cached.customers...)
	}
	a.cache = used
	return out, nil
}

// contentID identifies a part by the kind in its key and the hash of its data. The number in
// the key is left out, as it changes with the number of parts before it.
func (p *Part) contentID() string {
	hash := fnv.New64a()
	hash.Write(p.Data)
	return fmt.Sprint(strings.TrimRight(p.Key, "0123456789"), hash.Sum64())
}

func decodePart(part Part) (out decoded, err error) {
	out.data = slices.Clip(part.Data)
	switch {
	case part.Key == generalKey:
		out.general = new(general)
		err = decMode.Unmarshal(part.Data, out.general)
	case strings.HasPrefix(part.Key, routesPrefix):
		err = decMode.Unmarshal(part.Data, &out.routes)
	case strings.HasPrefix(part.Key, customerPrefix):
		err = decMode.Unmarshal(part.Data, &out.customers)
	default:
		err = errors.New("unknown key")
	}
	return out, wrapPartError(part.Key, err)
}

func wrapPartError(key string, err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, "decode configuration part %q", key)
}
