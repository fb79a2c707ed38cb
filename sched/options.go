package sched

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// Close to a common batch size; slow start doubles it within seconds.
	defaultInitialLimit = 16
	defaultMinLimit     = 1
	defaultMaxLimit     = 256
	// A preempted run repeats its prefill, so preemptions per second are bounded in a flood.
	defaultPreemptRate  = 4.0
	defaultPreemptBurst = 8.0
	// Bounds the memory of a queue; normally, items are refused for their predicted wait long
	// before this length is reached.
	defaultMaxQueued = 4096
	// Ranks missing from the configuration still need a bounded wait.
	defaultTarget = 10 * time.Second
	// Waits are predicted again at this interval, since refusals are due within 50 ms.
	defaultRecheck = 40 * time.Millisecond
)

type (
	// Option changes a setting of an Admission.
	Option func(*settings)

	settings struct {
		initialLimit, minLimit, maxLimit float64
		preemptRate, preemptBurst        float64
		maxQueued                        int
		defaultTarget                    time.Duration
		recheck                          time.Duration
		seed                             uint64
	}
)

// WithLimits sets the bounds of the concurrency limit per upstream and its value at the first
// load report. Until then it starts from at most four, or from lowest if that is higher.
func WithLimits(initial, lowest, highest int) Option {
	return func(s *settings) {
		s.minLimit = float64(max(lowest, 1))
		s.maxLimit = max(float64(highest), s.minLimit)
		s.initialLimit = min(max(float64(initial), s.minLimit), s.maxLimit)
	}
}

// WithPreemption limits preemptions per upstream to a rate per second and a burst; zero
// disables preemption.
func WithPreemption(perSecond, burst float64) Option {
	return func(s *settings) { s.preemptRate, s.preemptBurst = perSecond, burst }
}

// WithMaxQueued bounds the number of waiting items per upstream.
func WithMaxQueued(n int) Option {
	return func(s *settings) { s.maxQueued = n }
}

// WithDefaultTarget sets the first-token target of ranks that are not configured.
func WithDefaultTarget(target time.Duration) Option {
	return func(s *settings) { s.defaultTarget = target }
}

// WithRecheck sets the interval at which the waits of queued items are predicted again.
func WithRecheck(interval time.Duration) Option {
	return func(s *settings) { s.recheck = interval }
}

// WithSeed sets the seed of the jitter in retry hints.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

func newSettings(options []Option) settings {
	s := settings{
		initialLimit: defaultInitialLimit, minLimit: defaultMinLimit, maxLimit: defaultMaxLimit,
		preemptRate: defaultPreemptRate, preemptBurst: defaultPreemptBurst,
		maxQueued: defaultMaxQueued, defaultTarget: defaultTarget, recheck: defaultRecheck, seed: 1,
	}
	for _, option := range options {
		option(&s)
	}
	return s
}

func (s settings) unknownRank(name spoke.RankName) spoke.Rank {
	const afterAllOthers = int(^uint(0) >> 1)
	return spoke.Rank{Name: name, Order: afterAllOthers, FirstTokenTarget: s.defaultTarget}
}
