package timer

import (
	"time"

	"magnoliaspoke.example/spoke"
)

type (
	// System is a timer service on the system clock.
	System struct{}

	ticker struct{ inner *time.Ticker }

	oneShot struct{ inner *time.Timer }
)

// NewSystem returns a timer service on the system clock.
func NewSystem() *System { return &System{} }

// Now returns the current time.
func (*System) Now() time.Time { return time.Now() }

// Every subscribes to periodic ticks; the period must be above zero.
func (*System) Every(period time.Duration) spoke.Subscription {
	return ticker{time.NewTicker(period)}
}

// After subscribes to a single tick.
func (*System) After(delay time.Duration) spoke.Subscription {
	return oneShot{time.NewTimer(delay)}
}

// C returns the channel of ticks.
func (t ticker) C() <-chan time.Time { return t.inner.C }

// Stop ends the subscription.
func (t ticker) Stop() { t.inner.Stop() }

// C returns the channel of ticks.
func (s oneShot) C() <-chan time.Time { return s.inner.C }

// Stop ends the subscription.
func (s oneShot) Stop() { s.inner.Stop() }
