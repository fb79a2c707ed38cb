package sched

import (
	"math"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// Maximum ratio of loaded to unloaded latency. If the step time of a batching engine grows
	// linearly with the batch, throughput divided by latency peaks at a ratio of two.
	latencyTolerance = 2.0
	// Maximum ratio of durations without first-token times. Queueing inside the upstream then
	// shows only in the duration, so less growth is tolerated.
	durationTolerance = 1.6
	// Gain of the baseline, the mean of samples at low concurrency. Under load the baseline may
	// only decrease: when it also increased, the limit of a service with 40 ms calls and 16 slots
	// rose to 90.
	baselineGain   = 0.02
	ratioGain      = 0.1
	busyFactor     = 0.8
	overloadFactor = 0.7
	// Minimum time between decreases, so that each takes effect before the next. A decrease to a
	// lower ceiling is not delayed.
	minCooldown = 200 * time.Millisecond
	costBuckets = 40
	// Initial limit before the first load report, when only latencies show overload.
	unreportedLimit = 4
	// Interval between probes of a limit above the ceiling. The step doubles after each
	// successful probe and the interval after each failed one, up to the maximum. A failed probe
	// makes an item wait inside the engine, where ranks are not respected.
	minProbeInterval = time.Minute
	maxProbeInterval = 10 * time.Minute
	waitingFactor    = 0.5
	// A load report raises the limit only if the engine runs at least this fraction of it.
	minUtilisation = 0.75
	// Growth in slots per second after slow start, while load reports show no waiting work.
	growthRate = 0.25
)

type (
	// Limit is the adaptive concurrency limit of one upstream, derived from latencies, busy
	// answers and load reports.
	Limit struct {
		value, initial       float64
		lowest, highest      float64
		slowStart            bool
		firstToken, duration latencyRatio
		// relativeLatency is the latency ratio as a multiple of the tolerated one.
		relativeLatency float64
		lastDecrease    time.Time
		lastLoad        time.Time
		// ceiling is the number of items that the engine ran when it last reported waiting work,
		// plus the steps of the probes since then; zero means that it has reported none.
		ceiling       float64
		ceilingSince  time.Time
		probeInterval time.Duration
		probeStep     float64
		meanDuration  float64
	}

	// LatencySample describes a finished item.
	LatencySample struct {
		Started              time.Time
		Cost                 spoke.TokenCount
		FirstToken, Duration time.Duration
		// Concurrency is the number of running items at the start, including this one.
		Concurrency int
		// Limited is set if the limit held work back when the item finished.
		Limited bool
	}

	// latencyRatio tracks the ratio of latencies to unloaded latencies of items of similar cost.
	latencyRatio struct {
		baseline, mean [costBuckets]float64
		ratio          float64
	}
)

// NewLimit returns a limit between lowest and highest that takes the initial value at the first
// load report. It starts lower, because the unloaded latency of an upstream that is overloaded
// from the start cannot be measured.
func NewLimit(initial, lowest, highest float64) *Limit {
	return &Limit{
		value: min(initial, max(unreportedLimit, lowest)), initial: initial,
		lowest: lowest, highest: highest, slowStart: true,
	}
}

// Value returns the number of items that may run.
func (l *Limit) Value() int { return int(l.value) }

// inSlowStart reports whether no overload has been observed yet.
func (l *Limit) inSlowStart() bool { return l.slowStart }

// Observe adjusts the limit to the latency of a finished item.
func (l *Limit) Observe(now time.Time, s LatencySample) {
	// Items that started before the last decrease ran at a higher concurrency.
	if s.Duration <= 0 || s.Started.Before(l.lastDecrease) {
		return
	}
	idle := float64(s.Concurrency) <= max(1, l.value/4)
	l.meanDuration = ewma(l.meanDuration, s.Duration.Seconds(), ratioGain)
	l.duration.observe(s.Cost, s.Duration.Seconds(), idle)
	l.relativeLatency = l.duration.ratio / durationTolerance
	if s.FirstToken > 0 {
		l.firstToken.observe(s.Cost, s.FirstToken.Seconds(), idle)
		l.relativeLatency = max(l.duration.ratio, l.firstToken.ratio) / latencyTolerance
	}
	if l.relativeLatency > 1 {
		l.decrease(now, max(overloadFactor, 1/l.relativeLatency))
		return
	}
	if s.Limited {
		l.increase()
	}
}

// ObserveBusy decreases the limit after the upstream has refused an item because it is at its
// own limit.
func (l *Limit) ObserveBusy(now time.Time) { l.decrease(now, busyFactor) }

// ObserveLoad adjusts the limit to a load report. It also takes the number of items that the
// admission has granted, and whether the limit holds work back. If work waits in the engine, all
// its slots are in use, so the number of running items is the number of slots.
func (l *Limit) ObserveLoad(now time.Time, report spoke.LoadReport, running int, limited bool) {
	if report.Waiting > 0 {
		l.observeWaiting(now, report, running)
		return
	}
	if l.lastLoad.IsZero() && l.slowStart {
		l.value = max(l.value, l.initial)
	}
	if l.ceiling > 0 && now.Sub(l.ceilingSince) >= l.probeInterval {
		l.ceiling += l.probeStep
		l.ceilingSince = now
		l.probeInterval, l.probeStep = minProbeInterval, 2*l.probeStep
	}
	if limited && l.relativeLatency <= 1 && float64(report.Running) >= minUtilisation*l.value {
		l.grow(l.loadStep(now))
	}
	l.lastLoad = now
}

func (l *Limit) observeWaiting(now time.Time, report spoke.LoadReport, running int) {
	l.slowStart = false
	l.probeStep = 1
	l.probeInterval = min(max(2*l.probeInterval, minProbeInterval), maxProbeInterval)
	l.ceiling, l.ceilingSince = max(float64(report.Running), l.lowest), now
	if l.value > l.ceiling {
		l.value = max(l.ceiling, l.value*waitingFactor, l.lowest)
		l.resetLatencies(now)
		return
	}
	// Work waits although this host has granted no more than the engine has slots: another host
	// also sends work. A report from before the last decrease, or with work granted before it,
	// does not reflect the current limit.
	if running <= l.Value() && !report.AsOf.Before(l.lastDecrease) {
		l.decrease(now, max(overloadFactor, 1-float64(report.Waiting)/l.value))
	}
}

// loadStep returns the growth of the limit after a load report without waiting work.
func (l *Limit) loadStep(now time.Time) float64 {
	if l.slowStart {
		return max(1, l.value/8)
	}
	return growthRate * min(now.Sub(l.lastLoad).Seconds(), 1)
}

// grow raises the limit by a step, at most to its upper bound and to the ceiling.
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
	l.resetLatencies(now)
}

// resetLatencies discards the latency ratios measured under a higher limit.
func (l *Limit) resetLatencies(now time.Time) {
	l.lastDecrease = now
	l.firstToken.ratio, l.duration.ratio, l.relativeLatency = 1, 1, 0
}

func (r *latencyRatio) observe(cost spoke.TokenCount, sample float64, idle bool) {
	bucket := costBucket(cost)
	mean, baseline := &r.mean[bucket], &r.baseline[bucket]
	*mean = ewma(*mean, sample, baselineGain)
	switch {
	case idle:
		*baseline = ewma(*baseline, sample, baselineGain)
	case *baseline == 0 || *mean < *baseline:
		*baseline = *mean
	}
	r.ratio = ewma(r.ratio, sample/(*baseline), ratioGain)
}

// costBucket returns the index of a cost in buckets by powers of two.
func costBucket(cost spoke.TokenCount) int {
	return min(int(math.Log2(float64(max(cost, 1)))), costBuckets-1)
}

// ewma returns an exponentially weighted moving average updated by a sample; a mean of zero is
// replaced by the sample.
func ewma(mean, sample, gain float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + gain*(sample-mean)
}

// seconds converts a number of seconds to a duration, capped to avoid an overflow.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}
