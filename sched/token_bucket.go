package sched

import "time"

// tokenBucket is a token bucket that takes the time as an argument.
type tokenBucket struct {
	rate, burst, level float64
	updatedAt          time.Time
}

func newTokenBucket(rate, burst float64) tokenBucket {
	return tokenBucket{rate: rate, burst: burst, level: burst}
}

func (b *tokenBucket) refill(now time.Time) {
	if !b.updatedAt.IsZero() && now.After(b.updatedAt) {
		b.level = min(b.level+b.rate*now.Sub(b.updatedAt).Seconds(), b.burst)
	}
	if now.After(b.updatedAt) {
		b.updatedAt = now
	}
}

func (b *tokenBucket) add(amount float64) { b.level = min(b.level+amount, b.burst) }

// available refills the bucket and reports whether it holds at least one token.
func (b *tokenBucket) available(now time.Time) bool {
	b.refill(now)
	return b.level >= 1
}

// take removes one token and reports whether there was one.
func (b *tokenBucket) take(now time.Time) bool {
	if !b.available(now) {
		return false
	}
	b.level--
	return true
}
