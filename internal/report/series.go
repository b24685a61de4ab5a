package report

// seriesLength is the number of buckets over the report's time.
const seriesLength = 60

// Bucket holds the totals of a part of the report's time.
type Bucket struct {
	// Start of the bucket in seconds since 1970.
	Start float64 `json:"start"`
	// Seconds it lasts.
	Seconds float64 `json:"seconds"`
	// Total of all requests that ended in it, or were last seen in it.
	Total Totals `json:"total"`
	// Classes with requests in it, sorted by name.
	Classes []BucketClass `json:"classes"`
}

// BucketClass is one class in a bucket.
type BucketClass struct {
	// Name of the class.
	Name string `json:"name"`
	// Totals of its requests.
	Totals
}

func series(all []*request, from, to float64) []Bucket {
	if to <= from {
		return nil
	}
	width := (to - from) / seriesLength
	totals := make([]Totals, seriesLength)
	classes := make([]map[string]*Totals, seriesLength)
	for _, r := range all {
		if r.at() == 0 {
			continue // only a cut line tells of it, and not when
		}
		i := min(max(int((r.at()-from)/width), 0), seriesLength-1)
		totals[i].add(r)
		if classes[i] == nil {
			classes[i] = make(map[string]*Totals)
		}
		totalsIn(classes[i], r.class).add(r)
	}
	out := make([]Bucket, seriesLength)
	for i := range out {
		out[i] = Bucket{Start: from + float64(i)*width, Seconds: width, Total: totals[i]}
		out[i].Total.rates(width)
		for _, name := range sortedKeys(classes[i], func(a, b string) bool { return a < b }) {
			classes[i][name].rates(width)
			out[i].Classes = append(out[i].Classes, BucketClass{Name: name, Totals: *classes[i][name]})
		}
	}
	return out
}
