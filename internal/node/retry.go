package node

// retryBudget bounds retries to a share of the requests admitted. Without it, each failed
// engine would multiply the load on the remaining ones, and recovery from a failure would
// become the next overload.
type retryBudget struct {
	share  float64
	tokens float64
}

const (
	// retryBurst is the number of retries that may be made at once. It lets a lightly
	// loaded instance retry at all.
	retryBurst = 10
)

func (b *retryBudget) credit() {
	b.tokens = min(b.tokens+b.share, retryBurst)
}

// tryTake reports whether a retry may be made, and counts it.
func (b *retryBudget) tryTake() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
