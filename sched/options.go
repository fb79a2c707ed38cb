package sched

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// Near the common size of a batch; slow start doubles it within seconds.
	defaultInitialLimit = 16
	defaultMinLimit     = 1
	defaultMaxLimit     = 256
	// Preemption costs a second prefill, so a flood must not turn into constant preemption.
	defaultPreemptRate  = 4.0
	defaultPreemptBurst = 8.0
	// A full queue needs memory for each item; the predicted wait normally refuses far earlier.
	defaultMaxQueued = 4096
	// Work of a rank that is missing from the configuration still has to end in bounded time.
	defaultTarget = 10 * time.Second
	// Waiting items are checked again at this interval; refusals are due within 50 ms.
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

// WithLimits sets the bounds of the concurrency limit per upstream and its value from the
// first load report on; without reports it starts at four or less.
func WithLimits(initial, lowest, highest int) Option {
	return func(s *settings) {
		s.minLimit = float64(max(lowest, 1))
		s.maxLimit = max(float64(highest), s.minLimit)
		s.initialLimit = min(max(float64(initial), s.minLimit), s.maxLimit)
	}
}

// WithPreemption bounds preemptions per upstream by a rate per second and a burst; zero disables them.
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

// WithRecheck sets the interval at which predictions of waiting items are renewed.
func WithRecheck(interval time.Duration) Option {
	return func(s *settings) { s.recheck = interval }
}

// WithSeed sets the seed of the jitter of retry hints.
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
