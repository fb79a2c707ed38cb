package timer

import (
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// Manual is a timer service whose clock advances only by Advance.
	Manual struct {
		mu   sync.Mutex
		now  time.Time
		subs map[*manualSubscription]struct{}
	}

	manualSubscription struct {
		owner  *Manual
		next   time.Time
		period time.Duration
		ticks  chan time.Time
	}
)

// NewManual returns a timer service whose clock starts at the given time.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, subs: make(map[*manualSubscription]struct{})}
}

// Now returns the time of the manual clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Every subscribes to periodic ticks.
func (m *Manual) Every(period time.Duration) spoke.Subscription {
	return m.subscribe(period, period)
}

// After subscribes to a single tick.
func (m *Manual) After(delay time.Duration) spoke.Subscription {
	return m.subscribe(delay, 0)
}

// Advance advances the clock and delivers the ticks that become due; each subscription gets at most
// one tick.
func (m *Manual) Advance(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(by)
	for sub := range m.subs {
		sub.fire(m.now)
		if sub.period == 0 && !sub.next.After(m.now) {
			delete(m.subs, sub)
		}
	}
}

func (m *Manual) subscribe(delay, period time.Duration) *manualSubscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	sub := &manualSubscription{owner: m, next: m.now.Add(delay), period: period, ticks: make(chan time.Time, 1)}
	m.subs[sub] = struct{}{}
	return sub
}

func (s *manualSubscription) fire(now time.Time) {
	if s.next.After(now) {
		return
	}
	select {
	case s.ticks <- now:
	default:
	}
	for s.period > 0 && !s.next.After(now) {
		s.next = s.next.Add(s.period)
	}
}

// C returns the channel of ticks.
func (s *manualSubscription) C() <-chan time.Time { return s.ticks }

// Stop ends the subscription.
func (s *manualSubscription) Stop() {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	delete(s.owner.subs, s)
}
