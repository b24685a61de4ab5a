// Package routing holds the configuration of a relaying instance: which
// service a request goes to by its host and path, whose key it carries, and
// what may be done with it. It is pure; a Table never changes once built.
package routing

import (
	"time"
)

// Repeat says how often a request may run.
type Repeat uint8

const (
	// AtMostOnce requests must not run a second time. It is the zero value, so
	// that an unknown kind is handled with most care.
	AtMostOnce Repeat = iota
	// Idempotent requests may run more than once.
	Idempotent
)

// Share is the part of a route's requests that a service gets.
type Share struct {
	// Service that gets them.
	Service string `cbor:"1,keyasint,omitempty"`
	// Weight against the other shares of the route; 0 takes no requests.
	Weight int `cbor:"2,keyasint,omitempty"`
}

// Route says what to do with requests of one host under one path prefix.
type Route struct {
	// Name for logs.
	Name string `cbor:"1,keyasint,omitempty"`
	// Host without a port, as callers name it.
	Host string `cbor:"2,keyasint,omitempty"`
	// Prefix of the path; begins and ends with a slash.
	Prefix string `cbor:"3,keyasint,omitempty"`
	// Repeat says whether a request may run again after it may have run.
	Repeat Repeat `cbor:"4,keyasint,omitempty"`
	// Streaming answers are series of events.
	Streaming bool `cbor:"5,keyasint,omitempty"`
	// Resumable streams may go on at another server after a given event.
	Resumable bool `cbor:"6,keyasint,omitempty"`
	// Public routes need no key.
	Public bool `cbor:"7,keyasint,omitempty"`
	// Timeout is the longest time from arrival to the final answer.
	Timeout time.Duration `cbor:"8,keyasint,omitempty"`
	// Goal is the time to the answer, or to its first event, for full credit.
	Goal time.Duration `cbor:"9,keyasint,omitempty"`
	// MaxGap is the longest pause between events of an answer on time; 0 for none.
	MaxGap time.Duration `cbor:"10,keyasint,omitempty"`
	// Priority, 0 first.
	Priority int `cbor:"11,keyasint,omitempty"`
	// Shares of the services; weights above 0.
	Shares []Share `cbor:"12,keyasint,omitempty"`
	// Attempts is the number of servers that one request may be sent to.
	Attempts int `cbor:"13,keyasint,omitempty"`
	// AllowedRegions are the regions that requests must stay in; none for no bound.
	AllowedRegions []string `cbor:"14,keyasint,omitempty"`
}

// MayRepeat reports whether a request of the route may run again.
func (r *Route) MayRepeat() bool {
	return r.Repeat == Idempotent || r.Resumable
}

// Engine holds what a service of model engines publishes of them.
type Engine struct {
	// Slots is the number of requests run at once.
	Slots int `cbor:"1,keyasint,omitempty"`
	// MemoryTokens is the room for running requests and cached prompt parts.
	MemoryTokens int `cbor:"2,keyasint,omitempty"`
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int `cbor:"3,keyasint,omitempty"`
	// TokenBytes is the memory of one token of a prompt.
	TokenBytes int `cbor:"4,keyasint,omitempty"`
	// LinkMbps is how fast engines send that memory to each other, in Mbit/s.
	LinkMbps float64 `cbor:"5,keyasint,omitempty"`
}

// Service is a group of servers that do the same work.
type Service struct {
	// Name is the key in routes and server entries.
	Name string `cbor:"1,keyasint,omitempty"`
	// MaxConns is how many connections one server accepts of all callers; 0 for no bound.
	MaxConns int `cbor:"2,keyasint,omitempty"`
	// ColdStart is how long a server is cold after it starts; 0 for never.
	ColdStart time.Duration `cbor:"3,keyasint,omitempty"`
	// ColdRate is how many requests a second a cold server bears of the whole fleet;
	// above that it may crash. 0 for no bound.
	ColdRate float64 `cbor:"4,keyasint,omitempty"`
	// Engine is set for model engines.
	Engine *Engine `cbor:"5,keyasint,omitempty"`
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes of one request.
	HeaderBytes int `cbor:"1,keyasint,omitempty"`
	// BodyBytes of one request.
	BodyBytes int `cbor:"2,keyasint,omitempty"`
	// HeaderTimeout for a request's header to arrive.
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	// IdleTimeout of a kept connection.
	IdleTimeout time.Duration `cbor:"4,keyasint,omitempty"`
}

// Customer is who a key belongs to.
type Customer struct {
	// Name is told to servers.
	Name string `cbor:"1,keyasint,omitempty"`
	// Keys that callers may show.
	Keys []string `cbor:"2,keyasint,omitempty"`
	// Priority goes before the route's, see Table.Rank; nil for none.
	Priority *int `cbor:"3,keyasint,omitempty"`
	// AllowedRegions are the regions that its requests must stay in; none for no bound.
	AllowedRegions []string `cbor:"4,keyasint,omitempty"`
}

// Config is one published version.
type Config struct {
	// Version grows with each change, not always by one.
	Version int64
	// Routes in any order.
	Routes []Route
	// Services that routes name.
	Services []Service
	// Limits for callers.
	Limits Limits
	// KeysRequired says that requests need a key, except on public routes.
	KeysRequired bool
	// Customers and their keys.
	Customers []Customer
}
