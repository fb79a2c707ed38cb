package spoke

// HybridClock stamps internal messages so that causes sort before effects on the time line.
type HybridClock interface {
	// Now advances the clock and returns its reading.
	Now() HybridTime
	// Observe moves the clock past a reading received from another process.
	Observe(remote HybridTime)
}
