package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// usualReadRate, in tokens a millisecond, and usualStep are what an engine is taken for before
	// any first event was seen.
	usualReadRate = 80.0
	usualStep     = 10 * time.Millisecond
	// usualPrompt is the size of the prompts by which the usual rate counts beside what was seen.
	usualPrompt = 8000.0
	// usualWeight is the number of observations for which the usual figures count at either size.
	usualWeight = 1.0
	// readingFade is the part of what was seen that is left after one more observation.
	readingFade = 0.99
	// slowestRate and fastestRate, in tokens a millisecond, and longestStep bound what is learned.
	slowestRate = 4.0
	fastestRate = 1000.0
	longestStep = 300 * time.Millisecond
	// farOff is the number of times that an observation may exceed its prediction and count in full.
	farOff = 4.0
)

// reading predicts when the engines of a service send the first event of a call: some time after they
// have read the tokens before it and its own. Both figures are learned from first events by least
// squares, in which old ones fade.
type reading struct {
	// count, tokens, took, square and product are sums over the observations.
	count, tokens, took, square, product float64
	// rate is in tokens a millisecond.
	rate float64
	step time.Duration
}

func newReading() *reading {
	return &reading{rate: usualReadRate, step: usualStep}
}

// time is how long an engine reads that takes a multiple of the usual time.
func (r *reading) time(tokens spoke.TokenCount, pace float64) time.Duration {
	return time.Duration(float64(tokens) / r.rate * pace * float64(time.Millisecond))
}

// first is the time to the first event after the given number of tokens at the usual pace.
func (r *reading) first(tokens spoke.TokenCount) time.Duration { return r.time(tokens, 1) + r.step }

// observe takes the time to a first event and the tokens that were read before it.
func (r *reading) observe(tokens spoke.TokenCount, took time.Duration) {
	limit := time.Duration(farOff * float64(r.first(tokens)))
	x, y := float64(tokens), inMilliseconds(min(took, limit))
	for _, sum := range []*float64{&r.count, &r.tokens, &r.took, &r.square, &r.product} {
		*sum *= readingFade
	}
	r.count++
	r.tokens += x
	r.took += y
	r.square += x * x
	r.product += x * y
	r.fit()
}

// fit sets the line through the observations and the usual figures.
func (r *reading) fit() {
	first := inMilliseconds(usualStep)
	last := first + usualPrompt/usualReadRate
	count := r.count + 2*usualWeight
	tokens := r.tokens + usualWeight*usualPrompt
	took := r.took + usualWeight*(first+last)
	square := r.square + usualWeight*usualPrompt*usualPrompt
	product := r.product + usualWeight*usualPrompt*last
	slope := (count*product - tokens*took) / (count*square - tokens*tokens)
	slope = min(max(slope, 1/fastestRate), 1/slowestRate)
	r.rate = 1 / slope
	step := time.Duration((took - slope*tokens) / count * float64(time.Millisecond))
	r.step = min(max(step, 0), longestStep)
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
