package cache

import "time"

const (
	// riseWeight and fallWeight are the weights of a new measurement. A fall counts for more,
	// because a prediction that is too fast costs time and one that is too slow does not.
	riseWeight = 0.3
	fallWeight = 0.6
	// rateFloor keeps predictions finite, in units per second.
	rateFloor = 1024
	// probeInterval lets a link that recovered be used again well within 10 s.
	probeInterval = 3 * time.Second
	// failedProbeInterval follows a probe that got no answer and allows for its time limit.
	failedProbeInterval = 4 * time.Second
)

type (
	// Rates keeps a moving rate in units per second for each key; it is not safe for
	// concurrent use.
	Rates[K comparable] struct {
		rates map[K]*movingRate
	}

	movingRate struct {
		value    float64
		measured time.Time
		probeDue time.Time
	}
)

// NewRates returns rates without measurements.
func NewRates[K comparable]() *Rates[K] {
	return &Rates[K]{rates: make(map[K]*movingRate)}
}

// Value returns the rate of a key; zero means that nothing was measured.
func (r *Rates[K]) Value(key K) float64 {
	if rate, ok := r.rates[key]; ok {
		return rate.value
	}
	return 0
}

// Observe adds a measurement; measurements without units or time are ignored.
func (r *Rates[K]) Observe(now time.Time, key K, units float64, took time.Duration) {
	if units <= 0 || took <= 0 {
		return
	}
	measured := units / took.Seconds()
	rate := r.rate(key)
	switch {
	case rate.value == 0:
		rate.value = max(rateFloor, measured)
	case measured < rate.value:
		rate.value = max(rateFloor, rate.value+fallWeight*(measured-rate.value))
	default:
		rate.value += riseWeight * (measured - rate.value)
	}
	rate.measured = now
	rate.probeDue = now.Add(probeInterval)
}

// Dead notes that the other side gave no answer at all.
func (r *Rates[K]) Dead(now time.Time, key K) {
	rate := r.rate(key)
	rate.value = rateFloor
	rate.measured = now
	rate.probeDue = now.Add(probeInterval)
}

// Slow notes that a transfer of units was given up after a time. The rate is below units by
// time; half of that is taken, so that repeated failures soon reach the true rate. A probe
// may raise the rate that way, because the rate before it is out of date.
func (r *Rates[K]) Slow(now time.Time, key K, units float64, took time.Duration, probe bool) {
	if units <= 0 || took <= 0 {
		return
	}
	rate := r.rate(key)
	bound := max(rateFloor, units/took.Seconds()/2)
	if probe || rate.value == 0 || bound < rate.value {
		rate.value = bound
	}
	rate.measured = now
	rate.probeDue = now.Add(probeInterval)
}

// Replace sets the rate to the measurement of a probe, which the failures before it do not
// hold down.
func (r *Rates[K]) Replace(now time.Time, key K, units float64, took time.Duration) {
	r.rate(key).value = 0
	r.Observe(now, key, units, took)
}

// ClaimProbe reports whether a probe of the key is due, and defers the next one. A key without
// measurements is due at once.
func (r *Rates[K]) ClaimProbe(now time.Time, key K) bool {
	rate := r.rate(key)
	if now.Before(rate.probeDue) {
		return false
	}
	rate.probeDue = now.Add(failedProbeInterval)
	return true
}

// ReleaseProbe makes a probe due again that could measure nothing.
func (r *Rates[K]) ReleaseProbe(now time.Time, key K) { r.rate(key).probeDue = now }

// Forget drops the keys that were not measured since a time.
func (r *Rates[K]) Forget(before time.Time) {
	for key, rate := range r.rates {
		if rate.measured.Before(before) && rate.probeDue.Before(before) {
			delete(r.rates, key)
		}
	}
}

func (r *Rates[K]) rate(key K) *movingRate {
	rate, ok := r.rates[key]
	if !ok {
		rate = &movingRate{}
		r.rates[key] = rate
	}
	return rate
}
