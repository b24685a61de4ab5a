// Package enginehttp defines the names in the HTTP interface of model engines and
// application servers. docs/PROTOCOLS.md describes the interface.
package enginehttp

// Headers.
const (
	// HeaderEngine selects the engine of the server.
	HeaderEngine = "X-Engine"
	// HeaderRequestID is the id of the request at the upstream.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority is the priority of the request in the engine; 0 is the highest.
	HeaderPriority = "X-Priority"
	// HeaderStarted is "true" if the engine has accepted the request.
	HeaderStarted = "X-Started"
	// HeaderNotStarted is "true" if the upstream refused the request before starting it.
	HeaderNotStarted = "X-Not-Started"
	// HeaderRetryAfter is the time until a retry is useful, in whole seconds.
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
	// QueryOffset is the offset of the first token to send on a resumed stream.
	QueryOffset = "offset"
	// QueryAfter is the first sequence number of the requested cache events.
	QueryAfter = "after"
)

// RoleWithdrawn is the role of an engine that finishes its running requests and refuses new
// ones before they start. It is not one of the inventory's roles.
const RoleWithdrawn = "withdrawn"

// TypeEventStream is the content type of an answer.
const TypeEventStream = "text/event-stream"

// TypeJSON is the content type of every other body of an engine.
const TypeJSON = "application/json"
