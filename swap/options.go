package swap

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// More than two concurrent swaps slow each other down at the weight store.
	defaultMaxConcurrent = 2
	// defaultOrderDeadline is the time in which an upstream must receive and start an order.
	defaultOrderDeadline = 2 * time.Second
	// A load normally ends well within this time after the order's deadline; one that takes
	// longer is treated as failed.
	defaultLoadTimeout = 15 * time.Second
	// Entry hosts stop sending new work within 3 s after an upstream is taken out of service.
	defaultPropagationDelay = 3 * time.Second
	// Runs in progress keep their version across a swap, so the swap need not wait for long ones.
	defaultDrainLimit = 10 * time.Second
	// Waiting urgent work delays each swap by at most this time, which bounds the length of a
	// rollout.
	defaultUrgentWait = 30 * time.Second
	// Older load reports are not used to determine what an upstream serves.
	defaultMaxReportAge = 10 * time.Second
	// After this many orders without effect the upstream is returned to service with its old
	// version for the backoff, so that it does not delay the others.
	defaultMaxAttempts = 3
	defaultBackoff     = time.Minute
	// An out-of-service mark expires unless it is renewed, so it ends when the lease holder dies.
	outOfServiceTTL = 10 * time.Second
)

type (
	// Option changes a setting of a Reconciler.
	Option func(*settings)

	settings struct {
		maxConcurrent                int
		orderDeadline                time.Duration
		loadTimeout                  time.Duration
		propagationDelay, drainLimit time.Duration
		urgentWait                   time.Duration
		maxReportAge                 time.Duration
		maxAttempts                  int
		backoff                      time.Duration
		compare                      func(a, b spoke.ModelVersion) int
	}
)

// WithMaxConcurrent sets the number of swaps that may run at the same time.
func WithMaxConcurrent(n int) Option { return func(s *settings) { s.maxConcurrent = n } }

// WithOrderDeadline sets the time in which an upstream must start an order.
func WithOrderDeadline(deadline time.Duration) Option {
	return func(s *settings) { s.orderDeadline = deadline }
}

// WithLoadTimeout sets the time that a swap may take after the order's deadline.
func WithLoadTimeout(d time.Duration) Option { return func(s *settings) { s.loadTimeout = d } }

// WithDrain sets the time between taking an upstream out of service and its order: at least
// propagationDelay, then until nothing runs on it, at most limit.
func WithDrain(propagationDelay, limit time.Duration) Option {
	return func(s *settings) { s.propagationDelay, s.drainLimit = propagationDelay, max(limit, propagationDelay) }
}

// WithUrgentWait sets how long waiting urgent work may delay the next swap.
func WithUrgentWait(limit time.Duration) Option { return func(s *settings) { s.urgentWait = limit } }

// WithAttempts sets the number of orders without effect after which an upstream gets no further
// orders for the backoff.
func WithAttempts(maxAttempts int, backoff time.Duration) Option {
	return func(s *settings) { s.maxAttempts, s.backoff = maxAttempts, backoff }
}

// WithVersionOrder sets the comparison of versions; upstreams on the oldest one are swapped first.
func WithVersionOrder(compare func(a, b spoke.ModelVersion) int) Option {
	return func(s *settings) { s.compare = compare }
}

func newSettings(options []Option) settings {
	s := settings{
		maxConcurrent: defaultMaxConcurrent, orderDeadline: defaultOrderDeadline, loadTimeout: defaultLoadTimeout,
		propagationDelay: defaultPropagationDelay, drainLimit: defaultDrainLimit, urgentWait: defaultUrgentWait,
		maxReportAge: defaultMaxReportAge, maxAttempts: defaultMaxAttempts, backoff: defaultBackoff,
		compare: func(spoke.ModelVersion, spoke.ModelVersion) int { return 0 },
	}
	for _, option := range options {
		option(&s)
	}
	return s
}
