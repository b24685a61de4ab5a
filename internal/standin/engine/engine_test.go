package engine

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"basilrudder/internal/schema/engineapi"
)

func TestAppendedEventIsTheSchemasJSON(t *testing.T) {
	for _, done := range []bool{false, true} {
		want := engineapi.TokenEvent{Offset: 12, Text: TokenText("id", 12)}
		if done {
			want.Finish = FinishStop
		}
		event := string(appendEvent(nil, textTag("id"), 12, done))
		var parsed engineapi.TokenEvent
		body := event[len("id: 12\ndata: ") : len(event)-len("\n\n")]
		if err := json.Unmarshal([]byte(body), &parsed); err != nil {
			t.Fatalf("%q: %v", body, err)
		}
		if diff := cmp.Diff(want, parsed); diff != "" {
			t.Errorf("event (-want +got):\n%s", diff)
		}
	}
}
