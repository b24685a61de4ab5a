// Package routing holds the configuration of a relaying instance. A Table maps the host and
// path of a request to a route and a service, and its key to a customer. The package does
// no I/O; a Table is immutable.
package routing

import (
	"time"
)

// Repeat specifies whether a request may run more than once.
type Repeat uint8

const (
	// AtMostOnce requests must not run a second time. It is the zero value, so that a route
	// without a kind gets the strictest one.
	AtMostOnce Repeat = iota
	// Idempotent requests may run more than once.
	Idempotent
)

// Share is the share of a route's requests that a service gets.
type Share struct {
	// Service is the name of the service.
	Service string `cbor:"1,keyasint,omitempty"`
	// Weight relative to the other shares of the route; 0 for no requests.
	Weight int `cbor:"2,keyasint,omitempty"`
}

// Route configures the requests of one host under one path prefix.
type Route struct {
	// Name identifies the route in logs.
	Name string `cbor:"1,keyasint,omitempty"`
	// Host as in the callers' requests, without a port.
	Host string `cbor:"2,keyasint,omitempty"`
	// Prefix of the path; begins and ends with a slash.
	Prefix string `cbor:"3,keyasint,omitempty"`
	// Repeat specifies whether a request that may have run may run again.
	Repeat Repeat `cbor:"4,keyasint,omitempty"`
	// Streaming specifies whether answers are streams of events.
	Streaming bool `cbor:"5,keyasint,omitempty"`
	// Resumable specifies whether a stream may be resumed at another server after a given event.
	Resumable bool `cbor:"6,keyasint,omitempty"`
	// Public specifies whether requests need no key.
	Public bool `cbor:"7,keyasint,omitempty"`
	// Timeout is the maximum time from arrival to the end of the answer.
	Timeout time.Duration `cbor:"8,keyasint,omitempty"`
	// Goal is the target time to the answer, or to the first event of a stream.
	Goal time.Duration `cbor:"9,keyasint,omitempty"`
	// MaxGap is the maximum gap between events of an answer that is on time; 0 for no bound.
	MaxGap time.Duration `cbor:"10,keyasint,omitempty"`
	// Priority of requests; 0 is the most urgent. See Table.Rank.
	Priority int `cbor:"11,keyasint,omitempty"`
	// Shares of the services; at least one.
	Shares []Share `cbor:"12,keyasint,omitempty"`
	// Attempts is the maximum number of servers that one request is sent to.
	Attempts int `cbor:"13,keyasint,omitempty"`
	// AllowedRegions are the regions that requests must stay in; empty for no restriction.
	AllowedRegions []string `cbor:"14,keyasint,omitempty"`
}

// MayRepeat reports whether a request that may have run may be sent again.
func (r *Route) MayRepeat() bool {
	return r.Repeat == Idempotent || r.Resumable
}

// Engine holds the published properties of a service's model engines.
type Engine struct {
	// Slots is the number of concurrent requests.
	Slots int `cbor:"1,keyasint,omitempty"`
	// MemoryTokens is the capacity for running requests and cached prompt parts, in tokens.
	MemoryTokens int `cbor:"2,keyasint,omitempty"`
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int `cbor:"3,keyasint,omitempty"`
	// TokenBytes is the memory used by one token of a prompt, in bytes.
	TokenBytes int `cbor:"4,keyasint,omitempty"`
	// LinkMbps is the rate at which engines send that memory to each other, in Mbit/s.
	LinkMbps float64 `cbor:"5,keyasint,omitempty"`
}

// Service is a group of servers that do the same work.
type Service struct {
	// Name identifies the service in routes and server entries.
	Name string `cbor:"1,keyasint,omitempty"`
	// MaxConns is the number of connections that one server accepts in all; 0 for no bound.
	MaxConns int `cbor:"2,keyasint,omitempty"`
	// ColdStart is how long a server is cold after its start; 0 for never.
	ColdStart time.Duration `cbor:"3,keyasint,omitempty"`
	// ColdRate is the number of requests per second from the whole fleet that a cold server
	// sustains; above that it may crash. 0 for no bound.
	ColdRate float64 `cbor:"4,keyasint,omitempty"`
	// Engine is set for model engines.
	Engine *Engine `cbor:"5,keyasint,omitempty"`
}

// Limits are the limits for requests and connections of callers.
type Limits struct {
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int `cbor:"1,keyasint,omitempty"`
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int `cbor:"2,keyasint,omitempty"`
	// HeaderTimeout is the maximum time for a request's header to arrive.
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration `cbor:"4,keyasint,omitempty"`
}

// Customer is the owner of keys.
type Customer struct {
	// Name is sent to servers with the customer's requests.
	Name string `cbor:"1,keyasint,omitempty"`
	// Keys are the customer's API keys.
	Keys []string `cbor:"2,keyasint,omitempty"`
	// Priority orders customers among routes of the same priority, see Table.Rank; nil for
	// none.
	Priority *int `cbor:"3,keyasint,omitempty"`
	// AllowedRegions are the regions that its requests must stay in; empty for no restriction.
	AllowedRegions []string `cbor:"4,keyasint,omitempty"`
}

// Config is one published version of the configuration.
type Config struct {
	// Version increases with each change, not always by one.
	Version int64
	// Routes in any order.
	Routes []Route
	// Services that routes refer to.
	Services []Service
	// Limits for callers.
	Limits Limits
	// KeysRequired specifies whether requests need a key, except on public routes.
	KeysRequired bool
	// Customers and their keys.
	Customers []Customer
}
