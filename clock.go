package spoke

// HybridClock stamps internal messages so that causes sort before effects on the time line.
type HybridClock interface {
	// Now advances the clock and returns its reading.
	Now() HybridTime
	// Observe moves the clock past a reading received from another process and
	// reports false if the reading was too far ahead to be believed.
	Observe(remote HybridTime) bool
}
