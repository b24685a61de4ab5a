package replay

import (
	"fmt"
	"sort"

	"basilrudder/internal/schema/trace"
	"basilrudder/schema"
)

const outcomesRef = "trace.json#/$defs/Outcomes"

// ParseOutcomes reads the outcomes that a trace must have; name stands in problems.
func ParseOutcomes(name string, data []byte) (*trace.Outcomes, schema.Problems) {
	out := &trace.Outcomes{}
	if problems := schema.Decode(outcomesRef, name, data, out); len(problems) > 0 {
		return nil, problems
	}
	return out, nil
}

// Broken lists the promises that were broken, sorted.
func (r *Result) Broken() []string {
	var out []string
	for promise, count := range r.Violations {
		if count > 0 {
			out = append(out, fmt.Sprintf("promise broken %d times: %s", count, promise))
		}
	}
	sort.Strings(out)
	return out
}

// Missed lists the outcomes that the result falls short of.
func (r *Result) Missed(want *trace.Outcomes) []string {
	var out []string
	for _, floor := range want.Floors {
		if got := r.attainmentOf(floor); got < floor.Attainment {
			out = append(out, fmt.Sprintf("attainment of %s is %.4f, want at least %.4f", floorName(floor), got, floor.Attainment))
		}
	}
	if r.Goodput < want.Goodput {
		out = append(out, fmt.Sprintf("goodput is %.3f/s, want at least %.3f/s", r.Goodput, want.Goodput))
	}
	if r.TokensPerS < want.TokensPerS {
		out = append(out, fmt.Sprintf("tokens in good answers are %.1f/s, want at least %.1f/s", r.TokensPerS, want.TokensPerS))
	}
	if r.WastedWork > want.WastedWork {
		out = append(out, fmt.Sprintf("wasted work is %.4f, want at most %.4f", r.WastedWork, want.WastedWork))
	}
	return out
}

func (r *Result) attainmentOf(floor trace.ClassFloor) float64 {
	share := r.Classes[floor.Class]
	if floor.Subscription != "" {
		share = r.Subscriptions[floor.Class+"/"+floor.Subscription]
	}
	if share == nil {
		return 0
	}
	return share.Attainment
}

func floorName(floor trace.ClassFloor) string {
	if floor.Subscription == "" {
		return floor.Class
	}
	return floor.Class + " for " + floor.Subscription
}
