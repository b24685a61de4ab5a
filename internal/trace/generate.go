package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/catalog"
	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/schema/trace"
)

const (
	// burstInterval is the time from one burst to the next, burstLength the length of a
	// burst. Their ratio bounds the burst factor at which the mean rate is kept: above 3,
	// the rate between bursts would have to be negative.
	burstInterval = 45 * time.Second
	burstLength   = 15 * time.Second
	// waveLength is the time within a burst in which the requests of a wave arrive. It
	// must not exceed burstLength, or part of the wave is cut off.
	waveLength = 5 * time.Second
	// batchSlowdown is the fraction of a step that each further request in a batch adds
	// in the capacity estimate. A larger value generates fewer requests for a load.
	batchSlowdown = 0.01
	// cachedPromptShare is the fraction of a prompt that a warm prefix cache saves in the
	// capacity estimate. A larger value generates more requests for a load.
	cachedPromptShare = 0.5
	// maxGeneratedRequests bounds the requests of one line, and with them the memory.
	maxGeneratedRequests = 2_000_000
)

// Generate returns the requests of a line with a mix, in order of At. The same line and
// inventory give the same requests. It fails if the mix is unknown, the inventory lacks
// one of its classes or customers, or the line gives more than maxGeneratedRequests.
func Generate(line *trace.Line, cat *catalog.Catalog) ([]Request, error) {
	m, ok := mixes[line.Generate]
	if !ok {
		return nil, errors.Errorf("unknown mix %q", line.Generate)
	}
	g := &generator{
		line:  line,
		cat:   cat,
		rng:   rand.New(rand.NewPCG(uint64(line.Seed), 0x62617369)),
		start: milliseconds(line.AtMS),
		end:   milliseconds(line.AtMS + line.ForMS),
	}
	scaled := line.Load*float64(engineCount(cat)) - g.fixedWork(m)
	for i := range m.streams {
		if err := g.generateStream(&m.streams[i], scaled); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(g.out, func(a, b Request) int { return int(a.At - b.At) })
	return g.out, nil
}

type generator struct {
	line       *trace.Line
	cat        *catalog.Catalog
	rng        *rand.Rand
	start, end time.Duration
	out        []Request
}

// fixedWork returns the load of the streams with a fixed rate, in engines.
func (g *generator) fixedWork(m mix) float64 {
	sum := 0.0
	for i := range m.streams {
		s := &m.streams[i]
		if class := g.cat.Classes[s.class]; class != nil && class.Kind == inventory.ClassKindModel {
			sum += s.perSecond * g.workOf(s)
		}
	}
	return sum
}

// workOf returns the mean engine time of a request in seconds.
func (g *generator) workOf(s *stream) float64 {
	engine := firstModelEngine(g.cat)
	if engine == nil {
		return 1
	}
	slots := float64(engine.Slots)
	step := engine.StepMS / 1000 * (1 + batchSlowdown*(slots-1))
	mean := s.output * math.Exp(s.outputSigma*s.outputSigma/2)
	prompt := s.prompt * (1 - cachedPromptShare) / float64(engine.PrefillTokensPerS)
	return prompt + mean*step/slots
}

// firstModelEngine returns the first model engine, which represents all of them in the
// capacity estimate, or nil if there is none.
func firstModelEngine(cat *catalog.Catalog) *inventory.Engine {
	for _, group := range cat.GroupList {
		for _, server := range group.Servers {
			if server.Spec.Kind == inventory.ServerKindModel {
				return &server.Engines[0].Spec
			}
		}
	}
	return nil
}

func engineCount(cat *catalog.Catalog) int {
	n := 0
	for _, server := range cat.Servers {
		if server.Spec.Kind == inventory.ServerKindModel {
			n += len(server.Engines)
		}
	}
	return n
}

func (g *generator) generateStream(s *stream, scaled float64) error {
	if g.cat.Classes[s.class] == nil {
		return errors.Errorf("the inventory has no class %q", s.class)
	}
	for _, c := range s.customers {
		if g.cat.Customers[c.name] == nil {
			return errors.Errorf("the inventory has no customer %q", c.name)
		}
	}
	perSecond := s.perSecond
	if s.share > 0 {
		perSecond = max(0, scaled*s.share) / g.workOf(s)
	}
	if perSecond <= 0 {
		return nil
	}
	return g.arrivals(s, perSecond)
}

// arrivals draws a Poisson process by thinning; its rate follows the bursts.
func (g *generator) arrivals(s *stream, perSecond float64) error {
	peak := perSecond * g.peakRateFactor(s)
	for at := g.start; ; {
		at += time.Duration(g.rng.ExpFloat64() / peak * float64(time.Second))
		if at >= g.end {
			return nil
		}
		if g.rng.Float64()*peak >= perSecond*g.rateFactor(s, at-g.start) {
			continue
		}
		if len(g.out) >= maxGeneratedRequests {
			return errors.New("a line generates too many requests")
		}
		g.out = append(g.out, g.request(s, at))
	}
}

func (g *generator) hasBursts(s *stream) bool {
	return s.burst && g.line.Burst > 1
}

// peakRateFactor returns the maximum of rateFactor.
func (g *generator) peakRateFactor(s *stream) float64 {
	if !g.hasBursts(s) {
		return 1
	}
	if s.wave {
		return g.line.Burst * float64(burstLength) / float64(waveLength)
	}
	return g.line.Burst
}

// rateFactor returns the ratio of the rate to its mean at a time since the start. The
// rate between bursts is lowered to keep the mean, but not below 0.
func (g *generator) rateFactor(s *stream, since time.Duration) float64 {
	if !g.hasBursts(s) {
		return 1
	}
	length := burstLength
	if s.wave {
		length = waveLength
	}
	peak := g.peakRateFactor(s)
	part := float64(length) / float64(burstInterval)
	if since%burstInterval >= burstInterval-burstLength && since%burstInterval < burstInterval-burstLength+length {
		return peak
	}
	return max(0, (1-peak*part)/(1-part))
}

func (g *generator) request(s *stream, at time.Duration) Request {
	customer := g.customer(s)
	r := Request{
		At:           at.Truncate(time.Microsecond),
		Customer:     customer,
		Class:        s.class,
		PromptTokens: int(s.prompt * (0.5 + g.rng.Float64())),
		OutputTokens: g.output(s),
	}
	if s.prefixes > 0 {
		r.Prefix = prefixHash(fmt.Sprintf("%s/%s/%d", s.class, customer, g.skewedIndex(s.prefixes)))
	}
	return r
}

func (g *generator) customer(s *stream) string {
	remaining := 0.0
	for _, c := range s.customers {
		remaining += c.share
	}
	remaining *= g.rng.Float64()
	for _, c := range s.customers {
		remaining -= c.share
		if remaining < 0 {
			return c.name
		}
	}
	return s.customers[0].name
}

// skewedIndex draws an index below n; smaller ones are more frequent.
func (g *generator) skewedIndex(n int) int {
	u := g.rng.Float64()
	return int(float64(n) * u * u)
}

func (g *generator) output(s *stream) int {
	value := s.output * math.Exp(s.outputSigma*g.rng.NormFloat64())
	return min(max(int(value), 1), s.maxOutput)
}
