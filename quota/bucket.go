package quota

import (
	"math"
	"time"

	"magnoliaspoke.example/spoke"
)

// UnknownWait is the wait for an upstream that will not take requests of this host.
const UnknownWait = time.Hour

// bucket accumulates the requests that a share allows: those of the burst time, one at least.
type bucket struct {
	burst  time.Duration
	tokens float64
	at     time.Time
}

// now returns the number of requests that have accumulated at a rate.
func (b bucket) now(now time.Time, rate spoke.RequestRate) float64 {
	most := max(b.burst.Seconds()*float64(rate), 1)
	return min(b.tokens+now.Sub(b.at).Seconds()*float64(rate), most)
}

// wait is the time until a request has accumulated.
func (b bucket) wait(now time.Time, rate spoke.RequestRate) time.Duration {
	return TimeFor(1-b.now(now, rate), rate)
}

func (b *bucket) take(now time.Time, rate spoke.RequestRate) {
	b.set(now, max(b.now(now, rate)-1, 0))
}

func (b *bucket) set(now time.Time, tokens float64) { b.tokens, b.at = tokens, now }

// TimeFor returns the time in which a rate yields a number of requests, at most UnknownWait.
func TimeFor(requests float64, rate spoke.RequestRate) time.Duration {
	if requests <= 0 {
		return 0
	}
	if rate <= 0 {
		return UnknownWait
	}
	seconds := math.Min(requests/float64(rate), UnknownWait.Seconds())
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
