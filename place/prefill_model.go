package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// defaultPrefillRate, in tokens a millisecond, and defaultOverhead are assumed for engines before any
	// first event was observed.
	defaultPrefillRate = 80.0
	defaultOverhead    = 10 * time.Millisecond
	// defaultPrompt is the size, in tokens, of the larger of the two prompts by which the default figures
	// enter the fit; the other is empty.
	defaultPrompt = 8000.0
	// defaultWeight is the number of observations that the default figures are worth at each of these sizes.
	defaultWeight = 1.0
	// observationDecay is the factor by which one more observation reduces the weight of the earlier ones.
	observationDecay = 0.99
	// minPrefillRate and maxPrefillRate, in tokens a millisecond, and maxOverhead bound the fit.
	minPrefillRate = 4.0
	maxPrefillRate = 1000.0
	maxOverhead    = 300 * time.Millisecond
	// outlierFactor limits an observation to this multiple of its prediction.
	outlierFactor = 4.0
)

// prefillModel predicts when the engines of a service send the first event of a call: the overhead after
// they have prefilled its tokens and those before it. Rate and overhead are fitted to observed first events
// by least squares with exponential decay.
type prefillModel struct {
	// count, tokens, took, square and product are decaying sums over the observations: their number, tokens,
	// milliseconds, squares of the tokens, and products of tokens and milliseconds.
	count, tokens, took, square, product float64
	// rate is in tokens a millisecond.
	rate     float64
	overhead time.Duration
}

func newPrefillModel() *prefillModel {
	return &prefillModel{rate: defaultPrefillRate, overhead: defaultOverhead}
}

// time returns the prefill time of tokens at a pace, which is a multiple of the usual time.
func (m *prefillModel) time(tokens spoke.TokenCount, pace float64) time.Duration {
	return time.Duration(float64(tokens) / m.rate * pace * float64(time.Millisecond))
}

// firstEvent returns the time to the first event after a prefill of n tokens at the usual pace.
func (m *prefillModel) firstEvent(n spoke.TokenCount) time.Duration { return m.time(n, 1) + m.overhead }

// observe adds the time to a first event and the tokens that were prefilled before it.
func (m *prefillModel) observe(tokens spoke.TokenCount, took time.Duration) {
	limit := time.Duration(outlierFactor * float64(m.firstEvent(tokens)))
	x, y := float64(tokens), inMilliseconds(min(took, limit))
	for _, sum := range []*float64{&m.count, &m.tokens, &m.took, &m.square, &m.product} {
		*sum *= observationDecay
	}
	m.count++
	m.tokens += x
	m.took += y
	m.square += x * x
	m.product += x * y
	m.fit()
}

// fit sets rate and overhead from the line through the observations and the default figures.
func (m *prefillModel) fit() {
	first := inMilliseconds(defaultOverhead)
	last := first + defaultPrompt/defaultPrefillRate
	count := m.count + 2*defaultWeight
	tokens := m.tokens + defaultWeight*defaultPrompt
	took := m.took + defaultWeight*(first+last)
	square := m.square + defaultWeight*defaultPrompt*defaultPrompt
	product := m.product + defaultWeight*defaultPrompt*last
	slope := (count*product - tokens*took) / (count*square - tokens*tokens)
	slope = min(max(slope, 1/maxPrefillRate), 1/minPrefillRate)
	m.rate = 1 / slope
	overhead := time.Duration((took - slope*tokens) / count * float64(time.Millisecond))
	m.overhead = min(max(overhead, 0), maxOverhead)
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
