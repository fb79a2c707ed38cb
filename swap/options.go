package swap

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// More than two swaps at once slow each other down at the weight store.
	defaultAtOnce = 2
	// An upstream gets this time to receive and start an order.
	defaultOrderDeadline = 2 * time.Second
	// Loading ends well within this time after the order's deadline, or has failed.
	defaultLoadTime = 15 * time.Second
	// Entry hosts stop sending new work within 3 s.
	defaultNotice = 3 * time.Second
	// Runs that span a swap keep their version, so long ones need not hold it up.
	defaultDrain = 10 * time.Second
	// Urgent work may hold up each swap for this time, which bounds a roll-out.
	defaultUrgentWait = 30 * time.Second
	// Older reports say nothing about what an upstream serves.
	defaultReportAge = 10 * time.Second
	// After this many orders without effect the upstream serves on as it is for a while,
	// so that it does not hold up the others.
	defaultAttempts = 3
	defaultPause    = time.Minute
	// A mark that is not renewed ends by itself when the holder dies.
	outTime = 10 * time.Second
)

type (
	// Option changes a setting of a Reconciler.
	Option func(*settings)

	settings struct {
		atOnce        int
		orderDeadline time.Duration
		loadTime      time.Duration
		notice, drain time.Duration
		urgentWait    time.Duration
		reportAge     time.Duration
		attempts      int
		pause         time.Duration
		compare       func(a, b spoke.ModelVersion) int
	}
)

// WithAtOnce sets the number of swaps that may run at the same time.
func WithMaxConcurrent(n int) Option { return func(s *settings) { s.atOnce = n } }

// WithOrderDeadline sets the time in which an upstream must start an order.
func WithOrderDeadline(deadline time.Duration) Option {
	return func(s *settings) { s.orderDeadline = deadline }
}

// WithLoadTime sets the time that a swap may take after the order's deadline.
func WithLoadTimeout(limit time.Duration) Option { return func(s *settings) { s.loadTime = limit } }

// WithDrain sets the time between taking an upstream out and its order: at least notice,
// then until nothing runs, at most limit.
func WithDrain(notice, limit time.Duration) Option {
	return func(s *settings) { s.notice, s.drain = notice, max(limit, notice) }
}

// WithUrgentWait sets how long waiting urgent work holds up the next swap.
func WithUrgentWait(limit time.Duration) Option { return func(s *settings) { s.urgentWait = limit } }

// WithAttempts sets the orders without effect after which an upstream is left alone, and for how long.
func WithAttempts(attempts int, pause time.Duration) Option {
	return func(s *settings) { s.attempts, s.pause = attempts, pause }
}

// WithVersionOrder sets how versions compare; upstreams on the oldest one are swapped first.
func WithVersionOrder(compare func(a, b spoke.ModelVersion) int) Option {
	return func(s *settings) { s.compare = compare }
}

func newSettings(options []Option) settings {
	s := settings{
		atOnce: defaultAtOnce, orderDeadline: defaultOrderDeadline, loadTime: defaultLoadTime,
		notice: defaultNotice, drain: defaultDrain, urgentWait: defaultUrgentWait,
		reportAge: defaultReportAge, attempts: defaultAttempts, pause: defaultPause,
		compare: func(spoke.ModelVersion, spoke.ModelVersion) int { return 0 },
	}
	for _, option := range options {
		option(&s)
	}
	return s
}
