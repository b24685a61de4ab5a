package relay

import (
	"net/http"
	"strings"
	"testing"

	"basilrudder/internal/membudget"
)

// Guards against long answers that are lost, or held beyond the budget, where memory is short.
func TestAnAnswerWithoutMemoryIsPassedOnAsItArrives(t *testing.T) {
	text := strings.Repeat("0123456789", maxBufferedAnswer/20)
	for _, limit := range []int64{requestCost + 4<<10, 1 << 20} {
		memory := membudget.New(limit)
		b := newRig(t, allRoutes, map[string][]script{"s1": {replying(answer("r", http.StatusOK, "", text))}}, "s1")
		b.relay.cfg.Intake = newBudgetIntake(memory)
		if rec, _ := b.serve(request("GET", "/once/", "r", "")); rec.Code != http.StatusOK || rec.Body.String() != text {
			t.Errorf("status %d, %d of %d bytes", rec.Code, rec.Body.Len(), len(text))
		}
		if memory.Used() != 0 {
			t.Errorf("%d bytes are held afterwards", memory.Used())
		}
		b.close()
	}
}
