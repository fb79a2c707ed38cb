package spoke

import "time"

type (
	// Subscription delivers ticks until it is stopped.
	Subscription interface {
		// C returns the channel of ticks; a slow reader misses ticks.
		C() <-chan time.Time
		// Stop ends the subscription.
		Stop()
	}

	// Timer is the timer service that parts of a process subscribe to.
	Timer interface {
		// Now returns the current time with a monotonic reading where the system has one.
		Now() time.Time
		// Every subscribes to periodic ticks.
		Every(period time.Duration) Subscription
		// After subscribes to a single tick.
		After(delay time.Duration) Subscription
	}
)
