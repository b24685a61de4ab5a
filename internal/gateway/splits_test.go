package gateway

import (
	"testing"

	"basilrudder/internal/placement"
)

// Guards against lines for changes within the noise, and against more than one a second:
// of several services that changed, the one that changed most is logged.
func TestOnlyTheLargestChangeOfASplitIsLogged(t *testing.T) {
	logged := map[string]int{"a": 10, "b": 10}
	for _, c := range []struct {
		a, b int
		want string
	}{{12, 8, ""}, {13, 10, "a"}, {13, 4, "b"}, {0, 12, "a"}} {
		current := map[string]placement.EngineSplit{"a": {Short: c.a}, "b": {Short: c.b}}
		if got, changed := mostChangedSplit(logged, current); got != c.want || changed != (c.want != "") {
			t.Errorf("%d and %d engines: %q logged, want %q", c.a, c.b, got, c.want)
		}
	}
}
