package spoke

import "time"

type (
	// Subscription delivers ticks until it is stopped.
	Subscription interface {
		// C returns the channel of ticks; ticks are dropped for a slow reader.
		C() <-chan time.Time
		// Stop ends the subscription.
		Stop()
	}

	// Timer is a source of time and ticks.
	Timer interface {
		// Now returns the current time, with a monotonic reading where available.
		Now() time.Time
		// Every subscribes to periodic ticks.
		Every(period time.Duration) Subscription
		// After subscribes to a single tick.
		After(delay time.Duration) Subscription
	}
)
