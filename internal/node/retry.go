package node

// retryBudget bounds retries to a share of the requests served lately, so that
// recovery from a failure does not become the next overload: without it each
// failed engine would multiply the load on those left.
type retryBudget struct {
	share  float64
	tokens float64
}

const (
	// retryBurst is how many retries may come at once; it lets a lightly loaded
	// instance retry at all.
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
