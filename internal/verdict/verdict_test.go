package verdict

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
)

func TestWorstPrefersRanThenMayHaveRun(t *testing.T) {
	if got := Worst(NotRun, MayHaveRun); got != MayHaveRun {
		t.Errorf("Worse(NotRun, MayHaveRun) = %v", got)
	}
	if got := Worst(Ran, MayHaveRun); got != Ran {
		t.Errorf("Worse(Ran, MayHaveRun) = %v", got)
	}
}

func TestErrorUnwrapsToItsCause(t *testing.T) {
	cause := errors.New("connection reset")
	err := Wrap(MayHaveRun, ReasonUpstreamLost, cause).After(time.Second)
	if !errors.Is(err, cause) {
		t.Errorf("%v does not wrap %v", err, cause)
	}
	if err.RetryAfter != time.Second || err.Verdict != MayHaveRun {
		t.Errorf("After changed the error: %+v", err)
	}
}
