package enginemodel

import "basilrudder/internal/monotime"

// Job is a request to generate.
type Job struct {
	// ID of the request; an engine refuses the id of a run that it still keeps.
	ID string
	// Ref is copied to every Token, which saves the caller a look-up by ID.
	Ref uint64
	// Priority orders the waiting jobs; 0 is the highest.
	Priority int
	// PromptTokens to process before the first token.
	PromptTokens int
	// OutputTokens to generate; at least 1.
	OutputTokens int
	// Prefix key of the prompt; 0 for none.
	Prefix uint64
	// PrefixTokens is the number of prompt tokens in the prefix; 0 for the configured
	// share.
	PrefixTokens int
}

// Token is one generated token. At is the end of the step that generated it, or the time
// of the call for a token that Attach returns.
type Token struct {
	ID     string
	Ref    uint64
	At     monotime.Instant
	Offset int
	Done   bool
}

// Refusal is the reason why Submit or Attach refused a request.
type Refusal uint8

// Refusals.
const (
	// Duplicate means that a run of the id is in progress or ended recently.
	Duplicate Refusal = iota + 1
	// Full means that all slots and all places in the queue are taken.
	Full
	// Refusing means that the engine accepts no new requests.
	Refusing
	// Down means that the engine has crashed.
	Down
	// Unknown means that the engine has no run of the id that can be resumed.
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
	// Cancelled means that Cancel ended the run.
	Cancelled
	// Abandoned means that the run had no connection for Config.Linger.
	Abandoned
	// Crashed means that the engine crashed.
	Crashed
)

// Run records one accepted request. Two runs of one id are two executions.
type Run struct {
	ID string
	// Accepted is when the engine accepted the request.
	Accepted monotime.Instant
	// FirstToken is when the first token was generated; 0 before.
	FirstToken monotime.Instant
	// Ended is when the run ended; 0 before.
	Ended monotime.Instant
	// Priority of the job.
	Priority int
	// PromptTokens of the job, of which CachedTokens were cached and need no prefill.
	PromptTokens, CachedTokens int
	// Tokens generated.
	Tokens int
	// End of the run.
	End End
}

// job is a run that is in progress or was kept after its end.
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
