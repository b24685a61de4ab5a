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

// timeline collects the totals over time.
type timeline struct {
	from, width float64
	totals      []Totals
	classes     []map[string]*Totals
}

// newTimeline returns a timeline without buckets when no time passes.
func newTimeline(from, to float64) *timeline {
	t := &timeline{from: from, width: (to - from) / seriesLength}
	if t.width > 0 {
		t.totals = make([]Totals, seriesLength)
		t.classes = make([]map[string]*Totals, seriesLength)
	}
	return t
}

func (t *timeline) add(r *request) {
	if len(t.totals) == 0 || r.at() == 0 {
		return // only a truncated line is about the request, so its time is unknown
	}
	i := min(max(int((r.at()-t.from)/t.width), 0), seriesLength-1)
	t.totals[i].add(r)
	if t.classes[i] == nil {
		t.classes[i] = make(map[string]*Totals)
	}
	totalsIn(t.classes[i], r.class).add(r)
}

func (t *timeline) series() []Bucket {
	out := make([]Bucket, len(t.totals))
	for i := range out {
		out[i] = Bucket{Start: t.from + float64(i)*t.width, Seconds: t.width, Total: t.totals[i]}
		out[i].Total.rates(t.width)
		for _, name := range sortedKeys(t.classes[i], func(a, b string) bool { return a < b }) {
			t.classes[i][name].rates(t.width)
			out[i].Classes = append(out[i].Classes, BucketClass{Name: name, Totals: *t.classes[i][name]})
		}
	}
	return out
}
