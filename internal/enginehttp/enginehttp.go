// Package enginehttp holds the names of the HTTP interface of model engines
// and application servers. docs/PROTOCOLS.md describes them.
package enginehttp

// Headers.
const (
	// HeaderEngine names the engine of the server that is meant.
	HeaderEngine = "X-Engine"
	// HeaderRequestID is the id under which an upstream knows the request.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority orders requests in the engine; 0 is the highest.
	HeaderPriority = "X-Priority"
	// HeaderStarted is "true" once an engine has accepted the request.
	HeaderStarted = "X-Started"
	// HeaderNotStarted is "true" when the upstream refused before starting.
	HeaderNotStarted = "X-Not-Started"
	// HeaderRetryAfter is when to come back, in whole seconds.
	HeaderRetryAfter = "Retry-After"
)

// True is the value of HeaderStarted and HeaderNotStarted.
const True = "true"

// Paths. A stream's path is PathStreams followed by the request id.
const (
	PathGenerate    = "/v1/generate"
	PathStreams     = "/v1/streams/"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathOrders      = "/v1/orders"
)

// Query parameters.
const (
	// QueryOffset is the first token that a resumed stream should send.
	QueryOffset = "offset"
	// QueryAfter is the first sequence number of cache events wanted.
	QueryAfter = "after"
)

// RoleWithdrawn is the role, besides those of the inventory, of an engine that
// finishes what it runs and refuses new work before it starts.
const RoleWithdrawn = "withdrawn"

// TypeEventStream is the content type of an answer.
const TypeEventStream = "text/event-stream"

// TypeJSON is the content type of every other body of an engine.
const TypeJSON = "application/json"
