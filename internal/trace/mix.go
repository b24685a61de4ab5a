package trace

// mix is the traffic of a deployment. Some streams have a fixed rate; the others share
// the rest of the load.
type mix struct {
	streams []stream
}

// stream is the traffic of one class.
type stream struct {
	class string
	// customers with their shares of the stream.
	customers []customerShare
	// perSecond is a fixed rate; 0 for a stream that scales with the load.
	perSecond float64
	// share of the engine time left by the streams with a fixed rate.
	share float64
	// burst makes the stream follow the bursts of the line; wave concentrates its
	// requests of a burst in the first waveLength of it.
	burst bool
	wave  bool
	// prompt is the mean number of prompt tokens.
	prompt float64
	// prefixes is the number of distinct prompt prefixes per customer.
	prefixes int
	// output is the median number of output tokens (for a plain service, its time in
	// milliseconds), outputSigma the standard deviation of its logarithm, and maxOutput
	// its bound.
	output, outputSigma float64
	maxOutput           int
}

type customerShare struct {
	name  string
	share float64
}

// mixes by name, one for each example deployment.
var mixes = map[string]mix{
	"chikushi": {streams: chikushiStreams()},
	"kivu":     {streams: kivuStreams()},
}

// chikushiStreams returns interactive lookups at counters, drafts of very variable length
// by notaries, and a load dominated by three large customers out of ten.
func chikushiStreams() []stream {
	counters := []customerShare{{"bureau-counters", 1}}
	notaries := []customerShare{
		{"fukuoka-notaries", 0.32}, {"kitakyushu-notaries", 0.28}, {"kurume-notaries", 0.08},
		{"omuta-notaries", 0.08}, {"itoshima-translators", 0.05}, {"iizuka-translators", 0.05},
		{"tagawa-translators", 0.05}, {"yukuhashi-translators", 0.05}, {"nogata-translators", 0.04},
	}
	translators := []customerShare{
		{"itoshima-translators", 0.5}, {"iizuka-translators", 0.2}, {"tagawa-translators", 0.1},
		{"yukuhashi-translators", 0.1}, {"nogata-translators", 0.1},
	}
	reading := append([]customerShare{{"bureau-counters", 0.5}}, notaries[0], notaries[1])
	return []stream{
		{class: "clerk-lookup", customers: counters, perSecond: 18, burst: true, prompt: 250, prefixes: 12, output: 30, outputSigma: 0.4, maxOutput: 128},
		{class: "account-status", customers: counters, perSecond: 25, burst: true, output: 15, outputSigma: 0.4, maxOutput: 500},
		{class: "seal-registry", customers: counters, perSecond: 6, burst: true, output: 40, outputSigma: 0.4, maxOutput: 1000},
		{class: "certificate-reading", customers: reading, share: 0.25, burst: true, prompt: 2500, prefixes: 30, output: 200, outputSigma: 0.5, maxOutput: 1024},
		{class: "seal-note", customers: notaries, share: 0.1, burst: true, prompt: 800, prefixes: 4, output: 180, outputSigma: 0.6, maxOutput: 1024},
		{class: "drafting", customers: notaries, share: 0.45, burst: true, prompt: 1200, prefixes: 6, output: 450, outputSigma: 0.9, maxOutput: 4096},
		{class: "translation-check", customers: translators, share: 0.12, prompt: 1500, prefixes: 10, output: 300, outputSigma: 0.7, maxOutput: 2048},
		{class: "archive-reading", customers: counters, share: 0.08, prompt: 3000, prefixes: 100, output: 250, outputSigma: 0.5, maxOutput: 1024},
	}
}

// kivuStreams returns a load in which all subscribers send alert requests at once.
func kivuStreams() []stream {
	paying := []customerShare{
		{"volcanoes-lodges", 0.36}, {"kivu-shore-lodges", 0.34}, {"nyungwe-lodges", 0.2},
		{"musanze-guides", 0.05}, {"karongi-guides", 0.05},
	}
	schools := []customerShare{
		{"huye-observatory", 0.4}, {"nyanza-observatory", 0.3}, {"gicumbi-observatory", 0.3},
	}
	free := []customerShare{{"rubavu-guides", 0.6}, {"rusizi-guides", 0.4}}
	all := append(append(append([]customerShare{}, paying...), schools...), free...)
	return []stream{
		{class: "alert", customers: paying, perSecond: 26, burst: true, wave: true, prompt: 200, prefixes: 2, output: 60, outputSigma: 0.3, maxOutput: 200},
		{class: "delivery-receipt", customers: paying, perSecond: 26, burst: true, output: 20, outputSigma: 0.3, maxOutput: 500},
		{class: "subscriber-lookup", customers: all, perSecond: 20, burst: true, output: 10, outputSigma: 0.3, maxOutput: 500},
		{class: "alert", customers: schools, share: 0.15, burst: true, wave: true, prompt: 200, prefixes: 2, output: 60, outputSigma: 0.3, maxOutput: 200},
		{class: "alert", customers: free, share: 0.35, burst: true, wave: true, prompt: 200, prefixes: 2, output: 60, outputSigma: 0.3, maxOutput: 200},
		{class: "sighting-summary", customers: all, share: 0.25, burst: true, prompt: 600, prefixes: 5, output: 220, outputSigma: 0.5, maxOutput: 600},
		{class: "digest", customers: all, share: 0.15, prompt: 900, prefixes: 5, output: 500, outputSigma: 0.6, maxOutput: 2048},
		{class: "archive", customers: all, share: 0.1, prompt: 1500, prefixes: 50, output: 400, outputSigma: 0.6, maxOutput: 2048},
	}
}
