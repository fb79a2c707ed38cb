package edge

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// maxConnectTime is the time that callers allow for a new connection. Their own time for an answer begins before it.
	maxConnectTime = time.Second
	// connectTimeDivisor bounds the part of a short wait that counts as the time before the arrival of the call.
	connectTimeDivisor = 4
)

// callerTime is the time for which the caller of a call waits; begin comes first; the other methods are safe for concurrent
// use.
type callerTime struct {
	arrived time.Time
	// deadline is the time after arrived at which the caller may leave, whatever it has received.
	deadline time.Duration
	// until is the time after arrived at which the caller may leave if it receives nothing more.
	until atomic.Int64
}

// begin sets how long the caller waits for the first event of a stream and for the whole answer; zero means that it has
// not said so.
func (t *callerTime) begin(arrived time.Time, firstEvent, whole time.Duration) {
	t.arrived, t.deadline = arrived, sinceConnect(whole)
	t.until.Store(int64(min(t.deadline, sinceConnect(firstEvent))))
}

// sinceConnect returns the time after the arrival of a call in which a wait may end that began before it.
func sinceConnect(wait time.Duration) time.Duration {
	if wait == 0 {
		return math.MaxInt64
	}
	return wait - min(maxConnectTime, wait/connectTimeDivisor)
}

// extend sets that the caller was sent an event and waits for the next one.
func (t *callerTime) extend(sentAt time.Time, wait time.Duration) {
	t.until.Store(int64(min(t.deadline, sentAt.Sub(t.arrived)+wait)))
}

// isOver reports whether a caller whose bytes ended at a time may have stopped waiting then.
func (t *callerTime) isOver(at time.Time) bool {
	return at.Sub(t.arrived) >= time.Duration(t.until.Load())
}
