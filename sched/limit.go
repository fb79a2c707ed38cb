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
	durationTolerance = 1.6
	// The baseline is the mean of samples taken at low concurrency. Under load it only sinks: a
	// baseline that also rose made the limit of a service of 40 ms calls reach 90 for 16 places.
	baselineGain   = 0.02
	ratioGain      = 0.1
	busyFactor     = 0.8
	overloadFactor = 0.7
	// Decreases wait for the effect of the one before, at least for this time.
	minCooldown = 200 * time.Millisecond
	costBuckets = 40
	// Without a load report only latencies show overload, so growth starts from here.
	unreportedLimit = 4
	// Places that an engine did not have are tried again after this time, more at a time
	// while that succeeds and more rarely while it fails;
	// each try makes an item wait inside the engine, where order of urgency ends.
	ceilingHold    = time.Minute
	maxCeilingHold = 10 * time.Minute
	waitingFactor  = 0.5
	// A report that shows less work than this part of the limit says nothing about the limit.
	fullPart = 0.75
	// Growth per second while load reports show no waiting work.
	growthRate = 0.25
)

type (
	// Limit finds the concurrency of one upstream from latencies, busy answers and load reports.
	Limit struct {
		value, initial       float64
		lowest, highest      float64
		slowStart            bool
		firstToken, duration latencyRatio
		// excess is the latency as a multiple of what is tolerated.
		excess       float64
		lastDecrease time.Time
		lastLoad     time.Time
		// ceiling is the number of items that the engine ran when work waited in it.
		ceiling      float64
		ceilingSince time.Time
		hold         time.Duration
		probe        float64
		meanDuration float64
	}

	// LatencySample describes a finished item.
	LatencySample struct {
		Started              time.Time
		Cost                 spoke.TokenCount
		FirstToken, Duration time.Duration
		// Concurrency is the number of items that ran when the item started.
		Concurrency int
		// Limited says that the limit held work back.
		Limited bool
	}

	// latencyRatio compares latencies with unloaded ones of items of similar cost.
	latencyRatio struct {
		baseline, mean [costBuckets]float64
		ratio          float64
	}
)

// NewLimit returns a limit with bounds and a value for the first load report. It starts lower,
// because an upstream that is overloaded from the start never shows its unloaded latency.
func NewLimit(initial, lowest, highest float64) *Limit {
	return &Limit{
		value: min(initial, max(unreportedLimit, lowest)), initial: initial,
		lowest: lowest, highest: highest, slowStart: true,
	}
}

// Value returns the number of items that may run.
func (l *Limit) Value() int { return int(l.value) }

// isGrowing reports whether no overload was seen yet.
func (l *Limit) isGrowing() bool { return l.slowStart }

// Observe takes the latency of an item that ran to its end.
func (l *Limit) Observe(now time.Time, s LatencySample) {
	// Items that started before the last decrease ran beside more work than now.
	if s.Duration <= 0 || s.Started.Before(l.lastDecrease) {
		return
	}
	idle := float64(s.Concurrency) <= max(1, l.value/4)
	l.meanDuration = blend(l.meanDuration, s.Duration.Seconds(), ratioGain)
	l.duration.observe(s.Cost, s.Duration.Seconds(), idle)
	l.excess = l.duration.ratio / durationTolerance
	if s.FirstToken > 0 {
		l.firstToken.observe(s.Cost, s.FirstToken.Seconds(), idle)
		l.excess = max(l.duration.ratio, l.firstToken.ratio) / latencyTolerance
	}
	if l.excess > 1 {
		l.decrease(now, max(overloadFactor, 1/l.excess))
		return
	}
	if s.Limited {
		l.increase()
	}
}

// ObserveBusy takes an answer of the upstream that it is at its limit.
func (l *Limit) ObserveBusy(now time.Time) { l.decrease(now, busyFactor) }

// ObserveLoad takes a load report, the number of items that run according to the admission,
// and whether the limit holds work back. Waiting work in the engine shows that all places
// of the engine are taken, and how many those are.
func (l *Limit) ObserveLoad(now time.Time, report spoke.LoadReport, running int, limited bool) {
	if report.Waiting > 0 {
		l.observeWaiting(now, report, running)
		return
	}
	if l.lastLoad.IsZero() && l.slowStart {
		l.value = max(l.value, l.initial)
	}
	if l.ceiling > 0 && now.Sub(l.ceilingSince) >= l.hold {
		l.ceiling += l.probe
		l.ceilingSince = now
		l.hold, l.probe = ceilingHold, 2*l.probe
	}
	if limited && l.excess <= 1 && float64(report.Running) >= fullPart*l.value {
		l.grow(l.loadStep(now))
	}
	l.lastLoad = now
}

func (l *Limit) observeWaiting(now time.Time, report spoke.LoadReport, running int) {
	l.slowStart = false
	l.probe = 1
	l.hold = min(max(2*l.hold, ceilingHold), maxCeilingHold)
	l.ceiling, l.ceilingSince = max(float64(report.Running), l.lowest), now
	if l.value > l.ceiling {
		l.value = max(l.ceiling, l.value*waitingFactor, l.lowest)
		l.settle(now)
		return
	}
	// Work waits although no more runs than the engine has places for: another host sends
	// work too. A report from before the last decrease, or work granted before it, says nothing.
	if running <= l.Value() && !report.AsOf.Before(l.lastDecrease) {
		l.decrease(now, max(overloadFactor, 1-float64(report.Waiting)/l.value))
	}
}

// loadStep is the growth after a load report without waiting work.
func (l *Limit) loadStep(now time.Time) float64 {
	if l.slowStart {
		return max(1, l.value/8)
	}
	return growthRate * min(now.Sub(l.lastLoad).Seconds(), 1)
}

// grow raises the limit up to its bound and to what the engine is known to run.
func (l *Limit) grow(step float64) {
	highest := l.highest
	if l.ceiling > 0 {
		highest = min(highest, l.ceiling)
	}
	l.value = max(l.value, min(l.value+step, highest))
}

func (l *Limit) increase() {
	step := 1 / l.value
	if l.slowStart {
		step = 1
	}
	l.grow(step)
}

func (l *Limit) decrease(now time.Time, factor float64) {
	cooldown := max(minCooldown, seconds(l.meanDuration))
	if now.Sub(l.lastDecrease) < cooldown {
		return
	}
	l.slowStart = false
	l.value = max(l.value*factor, l.lowest)
	l.settle(now)
}

// settle forgets the latencies of work that ran under a higher limit.
func (l *Limit) settle(now time.Time) {
	l.lastDecrease = now
	l.firstToken.ratio, l.duration.ratio, l.excess = 1, 1, 0
}

func (r *latencyRatio) observe(cost spoke.TokenCount, sample float64, idle bool) {
	bucket := bucketOf(cost)
	mean, base := &r.mean[bucket], &r.baseline[bucket]
	*mean = blend(*mean, sample, baselineGain)
	switch {
	case idle:
		*base = blend(*base, sample, baselineGain)
	case *base == 0 || *mean < *base:
		*base = *mean
	}
	r.ratio = blend(r.ratio, sample/(*base), ratioGain)
}

// bucketOf groups costs by powers of two.
func bucketOf(cost spoke.TokenCount) int {
	return min(int(math.Log2(float64(max(cost, 1)))), costBuckets-1)
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
