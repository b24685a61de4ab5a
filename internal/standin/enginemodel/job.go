package enginemodel

import "basilrudder/internal/monotime"

// Job is a request to generate.
type Job struct {
	// ID of the request; an engine refuses an id that it knows.
	ID string
	// Ref comes back in every Token, so that the caller needs no look-up.
	Ref uint64
	// Priority orders the waiting jobs; 0 is the highest.
	Priority int
	// PromptTokens to process before the first token.
	PromptTokens int
	// OutputTokens to generate; at least 1.
	OutputTokens int
	// Prefix key of the prompt; 0 for none.
	Prefix uint64
	// PrefixTokens are those of the prompt under Prefix; 0 for the configured
	// share.
	PrefixTokens int
}

// Token is one generated token. At is the end of the step that made it.
type Token struct {
	ID     string
	Ref    uint64
	At     monotime.Instant
	Offset int
	Done   bool
}

// Refusal is why Submit or Attach did not take a request.
type Refusal uint8

// Refusals.
const (
	// Duplicate means that the id is known: the request ran or is running.
	Duplicate Refusal = iota + 1
	// Full means that no slot and no place in the queue is free.
	Full
	// Refusing means that the engine takes no work.
	Refusing
	// Down means that the engine has crashed.
	Down
	// Unknown means that no run of the id is known.
	Unknown
)

var refusalTexts = [...]string{"", "duplicate", "full", "refusing", "down", "unknown"}

// Error implements the error interface.
func (r Refusal) Error() string {
	return "engine: " + refusalTexts[r]
}

// End is how a run ended.
type End uint8

// Ends of a run.
const (
	// StillRunning means that the run has not ended.
	StillRunning End = iota
	// Completed means that every token was generated.
	Completed
	// Cancelled means that somebody cancelled the run.
	Cancelled
	// Abandoned means that the run had no connection for too long.
	Abandoned
	// Crashed means that the engine crashed.
	Crashed
)

// Run records one accepted request. Two runs of one id are two executions.
type Run struct {
	ID string
	// Accepted is when the engine took the request.
	Accepted monotime.Instant
	// FirstToken is when the first token was generated; 0 before.
	FirstToken monotime.Instant
	// Ended is when the run ended; 0 before.
	Ended monotime.Instant
	// Priority of the job.
	Priority int
	// PromptTokens of the job, of which CachedTokens cost nothing.
	PromptTokens, CachedTokens int
	// Tokens generated.
	Tokens int
	// End of the run.
	End End
}

// job is a known run.
type job struct {
	Job
	seq             uint64
	runIndex        int
	generated       int
	prefillLeft     int
	prefillThisStep int
	running         bool
	ended           bool
	silent          bool
	detached        bool
	forgetAt        monotime.Instant
	lingersUntil    monotime.Instant
}

// before orders jobs by priority and then by arrival.
func (j *job) before(other *job) bool {
	if j.Priority != other.Priority {
		return j.Priority < other.Priority
	}
	return j.seq < other.seq
}
