package gateway

import (
	"slices"

	"basilrudder/internal/schema/relaysettings"
)

// regions holds the region of each data centre.
type regions map[string]string

func newRegions(places []relaysettings.PlaceSettings) regions {
	out := make(regions, len(places))
	for _, place := range places {
		out[place.DataCentre] = place.Region
	}
	return out
}

// allow reports whether a request that must stay in some regions may go to a data centre.
// A nil list allows all. A data centre without a configured region is in none: a refused
// caller can retry, but data that has left its region cannot be recalled.
func (r regions) allow(homes []string, dataCentre string) bool {
	if homes == nil {
		return true
	}
	region, known := r[dataCentre]
	return known && slices.Contains(homes, region)
}
