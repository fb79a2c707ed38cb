package sched

import "time"

// bucket is a token bucket in virtual time.
type bucket struct {
	rate, burst, level float64
	at                 time.Time
}

func newBucket(rate, burst float64) bucket {
	return bucket{rate: rate, burst: burst, level: burst}
}

func (b *bucket) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.level = min(b.level+b.rate*now.Sub(b.at).Seconds(), b.burst)
	}
	if now.After(b.at) {
		b.at = now
	}
}

func (b *bucket) add(amount float64) { b.level = min(b.level+amount, b.burst) }

// available reports whether take would succeed.
func (b *bucket) available(now time.Time) bool {
	b.refill(now)
	return b.level >= 1
}

// take removes one token if there is one.
func (b *bucket) take(now time.Time) bool {
	if !b.available(now) {
		return false
	}
	b.level--
	return true
}
