package spoke

// HybridClock timestamps internal messages so that causes sort before effects in the event log.
type HybridClock interface {
	// Now advances the clock and returns its reading.
	Now() HybridTime
	// Observe advances the clock past a reading received from another process; it returns
	// false if it rejects the reading because it is too far ahead.
	Observe(remote HybridTime) bool
}
