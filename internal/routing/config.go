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
	Service string `json:"service"`
	// Weight against the other shares of the route; 0 takes no requests.
	Weight int `json:"weight"`
}

// Route says what to do with requests of one host under one path prefix.
type Route struct {
	// Name for logs.
	Name string `json:"name"`
	// Host without a port, as callers name it.
	Host string `json:"host"`
	// Prefix of the path; begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Repeat says whether a request may run again after it may have run.
	Repeat Repeat `json:"repeat"`
	// Streaming answers are series of events.
	Streaming bool `json:"streaming"`
	// Resumable streams may go on at another server after a given event.
	Resumable bool `json:"resumable"`
	// Public routes need no key.
	Public bool `json:"public"`
	// Timeout is the longest time from arrival to the final answer.
	Timeout time.Duration `json:"timeout"`
	// Goal is the time to the answer, or to its first event, for full credit.
	Goal time.Duration `json:"goal"`
	// MaxGap is the longest pause between events of an answer on time; 0 for none.
	MaxGap time.Duration `json:"max_gap"`
	// Priority, 0 first.
	Priority int `json:"priority"`
	// Shares of the services; weights above 0.
	Shares []Share `json:"shares"`
	// Attempts is the number of servers that one request may be sent to.
	Attempts int `json:"attempts"`
	// Homes are the regions that requests must stay in; none for no bound.
	Homes []string `json:"homes,omitempty"`
}

// MayRepeat reports whether a request of the route may run again.
func (r *Route) MayRepeat() bool {
	return r.Repeat == Idempotent || r.Resumable
}

// Engine holds what a service of model engines publishes of them.
type Engine struct {
	// Slots is the number of requests run at once.
	Slots int `json:"slots"`
	// MemoryTokens is the room for running requests and cached prompt parts.
	MemoryTokens int `json:"memory_tokens"`
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int `json:"event_tokens"`
	// TokenBytes is the memory of one token of a prompt.
	TokenBytes int `json:"token_bytes"`
	// LinkMbps is how fast engines send that memory to each other, in Mbit/s.
	LinkMbps float64 `json:"link_mbps"`
}

// Service is a group of servers that do the same work.
type Service struct {
	// Name is the key in routes and server entries.
	Name string `json:"name"`
	// MaxConns is how many connections one server accepts of all callers; 0 for no bound.
	MaxConns int `json:"max_conns"`
	// ColdStart is how long a server is cold after it starts; 0 for never.
	ColdStart time.Duration `json:"cold_start"`
	// ColdRate is how many requests a second a cold server bears of the whole fleet;
	// above that it may crash. 0 for no bound.
	ColdRate float64 `json:"cold_rate"`
	// Engine is set for model engines.
	Engine *Engine `json:"engine,omitempty"`
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes of one request.
	HeaderBytes int `json:"header_bytes"`
	// BodyBytes of one request.
	BodyBytes int `json:"body_bytes"`
	// HeaderTimeout for a request's header to arrive.
	HeaderTimeout time.Duration `json:"header_timeout"`
	// IdleTimeout of a kept connection.
	IdleTimeout time.Duration `json:"idle_timeout"`
}

// Customer is who a key belongs to.
type Customer struct {
	// Name is told to servers.
	Name string `json:"name"`
	// Keys that callers may show.
	Keys []string `json:"keys"`
	// Priority goes before the route's, see Table.Rank; nil for none.
	Priority *int `json:"priority,omitempty"`
	// Homes are the regions that its requests must stay in; none for no bound.
	Homes []string `json:"homes,omitempty"`
}

// Config is one published version.
type Config struct {
	// Version grows with each change, not always by one.
	Version int64 `json:"version"`
	// Routes in any order.
	Routes []Route `json:"routes"`
	// Services that routes name.
	Services []Service `json:"services"`
	// Limits for callers.
	Limits Limits `json:"limits"`
	// KeysRequired says that requests need a key, except on public routes.
	KeysRequired bool `json:"keys_required"`
	// Customers and their keys.
	Customers []Customer `json:"customers"`
}
