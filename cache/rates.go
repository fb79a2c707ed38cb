package cache

import "time"

const (
	// riseWeight and fallWeight are the weights of a new measurement in the moving average. A fall
	// has more weight, because a predicted rate that is too high costs time and one that is too low
	// does not.
	riseWeight = 0.3
	fallWeight = 0.6
	// rateFloor is the lowest rate in units per second; it keeps predicted times finite.
	rateFloor = 1024
	// probeInterval is short enough that a recovered link is used again well within 10 s.
	probeInterval = 3 * time.Second
	// failedProbeInterval follows a probe without a response; it includes the time limit of the probe.
	failedProbeInterval = 4 * time.Second
)

type (
	// Rates keeps a moving average of the rate in units per second for each key; it is not safe
	// for concurrent use.
	Rates[K comparable] struct {
		rates map[K]*movingRate
	}

	movingRate struct {
		// value is zero if there is no measurement.
		value    float64
		measured time.Time
		probeDue time.Time
	}
)

// NewRates returns rates without measurements.
func NewRates[K comparable]() *Rates[K] {
	return &Rates[K]{rates: make(map[K]*movingRate)}
}

// Value returns the rate of a key, zero if there is no measurement.
func (r *Rates[K]) Value(key K) float64 {
	if rate, ok := r.rates[key]; ok {
		return rate.value
	}
	return 0
}

// Observe adds a measurement; one without units or time is ignored.
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

// ObserveNoResponse sets the rate to its floor, because the other side did not respond at all.
func (r *Rates[K]) ObserveNoResponse(now time.Time, key K) {
	rate := r.rate(key)
	rate.value = rateFloor
	rate.measured = now
	rate.probeDue = now.Add(probeInterval)
}

// ObserveTimeout records that a transfer of units was abandoned after a time. The true rate is
// below units divided by time; half of that is taken, so that repeated failures approach the true
// rate in few steps. A probe may also raise the rate, because the rate before it is out of date.
func (r *Rates[K]) ObserveTimeout(now time.Time, key K, units float64, took time.Duration, probe bool) {
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

// Replace sets the rate to the measurement of a probe, without averaging it with earlier failures.
func (r *Rates[K]) Replace(now time.Time, key K, units float64, took time.Duration) {
	r.rate(key).value = 0
	r.Observe(now, key, units, took)
}

// ClaimProbe reports whether a probe of the key is due and, if so, defers the next one. A probe of
// a key without measurements is due at once.
func (r *Rates[K]) ClaimProbe(now time.Time, key K) bool {
	rate := r.rate(key)
	if now.Before(rate.probeDue) {
		return false
	}
	rate.probeDue = now.Add(failedProbeInterval)
	return true
}

// ReleaseProbe makes a claimed probe due again at once, because it yielded no measurement.
func (r *Rates[K]) ReleaseProbe(now time.Time, key K) { r.rate(key).probeDue = now }

// Evict removes the keys whose last measurement and next probe are both before a time.
func (r *Rates[K]) Evict(before time.Time) {
	for key, rate := range r.rates {
		if rate.measured.Before(before) && rate.probeDue.Before(before) {
			delete(r.rates, key)
		}
	}
}

// rate returns the entry of a key and creates it if it is missing.
func (r *Rates[K]) rate(key K) *movingRate {
	rate, ok := r.rates[key]
	if !ok {
		rate = &movingRate{}
		r.rates[key] = rate
	}
	return rate
}
