package finish

import (
	"math"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// observationDecay is the factor by which one more observation reduces the weight of the earlier ones.
	observationDecay = 0.99
	// defaultPerToken is the additional time of an event for each prompt token that is prefilled meanwhile, in milliseconds,
	// and defaultWeight the weight with which it enters the fit: that of two events of 2,000 tokens each.
	defaultPerToken = 1.0 / 57
	defaultWeight   = 2 * 2000.0 * 2000.0
	maxPerToken     = 0.25
	// shortestEvent bounds the time of an event, in milliseconds.
	shortestEvent = 1.0
	// leastEvents is the number of events from which a stream shows the time of an event.
	leastEvents = 4
	// slowestShare is the largest fraction of its time that an engine prefills. While it prefills all the time, it still
	// generates a token in each step, so that events take up to eight times as long (steps of 41 in place of 5 ms).
	slowestShare = 0.875
	// prefillHalfLife is the time in which the weight of prompt tokens assigned to an engine halves. It is about as long
	// as a response.
	prefillHalfLife = 3 * time.Second
	// ratioWeight is the weight of the newest stream in an engine's ratio, ratioHalfLife the time in which it halves.
	ratioWeight   = 0.1
	ratioHalfLife = 10 * time.Second
	fastestRatio  = 0.5
	slowestRatio  = 4.0
)

type (
	// pace is the time of an event without prefill beside it and the additional time for each token that is prefilled, in
	// milliseconds, fitted by least squares with exponential decay.
	pace struct {
		streams                              int
		count, tokens, took, square, product float64
		event, perToken                      float64
	}

	// PrefillLoad is what an engine has been given to prefill; the zero value is an engine that got nothing.
	PrefillLoad struct {
		// Total is the number of all tokens.
		Total  float64
		recent float64
		at     time.Time
	}

	// Ratio is the time of events of an engine relative to that of other engines; the zero value is 1. It decays to 1.
	Ratio struct {
		log float64
		at  time.Time
	}
)

func (p *pace) isKnown() bool { return p != nil && p.streams >= leastResponses }

// observe adds a stream with the given number of times between events.
func (p *pace) observe(intervals float64, streamed time.Duration, prefilled spoke.TokenCount) {
	x, y := float64(max(prefilled, 0))/intervals, inMilliseconds(streamed)/intervals
	for _, sum := range []*float64{&p.count, &p.tokens, &p.took, &p.square, &p.product} {
		*sum *= observationDecay
	}
	p.streams++
	p.count++
	p.tokens += x
	p.took += y
	p.square += x * x
	p.product += x * y
	spread := p.square - p.tokens*p.tokens/p.count
	common := p.product - p.tokens*p.took/p.count
	p.perToken = min(max((common+defaultWeight*defaultPerToken)/(spread+defaultWeight), 0), maxPerToken)
	p.event = max((p.took-p.perToken*p.tokens)/p.count, shortestEvent)
}

// Add records tokens that were assigned to the engine.
func (r *PrefillLoad) Add(now time.Time, tokens spoke.TokenCount) {
	r.recent = r.recentAsOf(now) + float64(max(tokens, 0))
	r.Total += float64(max(tokens, 0))
	r.at = now
}

func (r *PrefillLoad) recentAsOf(now time.Time) float64 {
	return r.recent * decay(now.Sub(r.at), prefillHalfLife)
}

// perMillisecond is the usual number of tokens in a millisecond.
func (r *PrefillLoad) perMillisecond(now time.Time) float64 {
	return r.recentAsOf(now) * math.Ln2 / inMilliseconds(prefillHalfLife)
}

// of returns the ratio at a time.
func (r *Ratio) of(now time.Time) float64 {
	return math.Exp(r.log * decay(now.Sub(r.at), ratioHalfLife))
}

func (r *Ratio) observe(now time.Time, ratio float64) {
	known := r.log * decay(now.Sub(r.at), ratioHalfLife)
	r.log = known + ratioWeight*(math.Log(min(max(ratio, fastestRatio), slowestRatio))-known)
	r.at = now
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
