package sched

import (
	"math"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// In a batching engine whose step time grows linearly with the batch, throughput
	// divided by latency peaks where latency is twice its unloaded value.
	latencyTolerance = 2.0
	// Without a first token to measure, waiting inside the upstream shows only in the
	// duration, so less growth is tolerated.
	durationTolerance = 1.4
	// The baseline follows low samples quickly and high ones slowly, which approximates a
	// low quantile; it rises faster only on samples taken at low concurrency.
	baselineDown     = 0.2
	baselineUpIdle   = 0.02
	baselineUpLoaded = 0.0005
	ratioGain        = 0.1
	busyFactor       = 0.8
	overloadFactor   = 0.7
	// Decreases wait for the effect of the one before, at least for this time.
	minCooldown = 200 * time.Millisecond
	costBuckets = 40
)

type (
	// Limit finds the concurrency of one upstream from latencies, busy answers and load reports.
	Limit struct {
		value, lowest, highest float64
		slowStart              bool
		firstToken, duration   latencyRatio
		lastDecrease           time.Time
		meanDuration           float64
	}

	// LatencySample describes a finished item.
	LatencySample struct {
		Cost                 spoke.TokenCount
		FirstToken, Duration time.Duration
		// Concurrency is the number of items that ran when the item started.
		Concurrency int
		// Limited says that the limit held work back.
		Limited bool
	}

	// latencyRatio compares latencies with unloaded ones of items of similar cost.
	latencyRatio struct {
		baseline [costBuckets]float64
		ratio    float64
	}
)

// NewLimit returns a limit with a first value and bounds.
func NewLimit(initial, lowest, highest float64) *Limit {
	return &Limit{value: initial, lowest: lowest, highest: highest, slowStart: true}
}

// Value returns the number of items that may run.
func (l *Limit) Value() int { return int(l.value) }

// Observe takes the latency of an item that ran to its end.
func (l *Limit) Observe(now time.Time, s LatencySample) {
	if s.Duration <= 0 {
		return
	}
	idle := float64(s.Concurrency) <= max(1, l.value/4)
	l.meanDuration = blend(l.meanDuration, s.Duration.Seconds(), ratioGain)
	l.duration.observe(s.Cost, s.Duration.Seconds(), idle)
	excess := l.duration.ratio / durationTolerance
	if s.FirstToken > 0 {
		l.firstToken.observe(s.Cost, s.FirstToken.Seconds(), idle)
		excess = max(l.duration.ratio, l.firstToken.ratio) / latencyTolerance
	}
	if excess > 1 {
		l.decrease(now, max(overloadFactor, 1/excess))
		return
	}
	if s.Limited {
		l.increase()
	}
}

// ObserveBusy takes an answer of the upstream that it is at its limit.
func (l *Limit) ObserveBusy(now time.Time) { l.decrease(now, busyFactor) }

// ObserveLoad takes a load report; waiting work in the engine means that the limit is too high.
func (l *Limit) ObserveLoad(now time.Time, report spoke.LoadReport) {
	if report.Waiting <= 0 || report.AsOf.Before(l.lastDecrease) {
		return
	}
	l.decrease(now, max(overloadFactor, 1-float64(report.Waiting)/l.value))
}

func (l *Limit) increase() {
	step := 1 / l.value
	if l.slowStart {
		step = 1
	}
	l.value = min(l.value+step, l.highest)
}

func (l *Limit) decrease(now time.Time, factor float64) {
	cooldown := max(minCooldown, seconds(l.meanDuration))
	if now.Sub(l.lastDecrease) < cooldown {
		return
	}
	l.lastDecrease = now
	l.slowStart = false
	l.value = max(l.value*factor, l.lowest)
}

func (r *latencyRatio) observe(cost spoke.TokenCount, sample float64, idle bool) {
	bucket := min(int(math.Log2(float64(max(cost, 1)))), costBuckets-1)
	base := &r.baseline[bucket]
	switch {
	case *base == 0:
		*base = sample
	case sample < *base:
		*base += baselineDown * (sample - *base)
	case idle:
		*base += baselineUpIdle * (sample - *base)
	default:
		*base += baselineUpLoaded * (sample - *base)
	}
	r.ratio = blend(r.ratio, sample/(*base), ratioGain)
}

func blend(mean, sample, gain float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + gain*(sample-mean)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}
