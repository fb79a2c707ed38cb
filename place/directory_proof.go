package place

import "time"

// ProvenByRead returns the time up to which a host knows all changes of the directory after a read that was sent at the
// time asked. The response shows the directory at some moment behind that; how long it was under way is not known.
func ProvenByRead(asked time.Time) time.Time { return asked }

// ProvenByWatch returns the same for a watch that was sent at the time asked and answered now. Without a change, the
// directory holds its response for the whole wait. With one, it may have answered at once, and the response may have been
// under way since then.
func ProvenByWatch(asked, now time.Time, wait time.Duration, hasChanges bool) time.Time {
	end := asked.Add(wait)
	if hasChanges || now.Before(end) {
		return asked
	}
	return end
}

// ProvenByPeer returns the same for an answer of another host that was received now, stated the age of that host's proof,
// and was under way for the given time at most.
func ProvenByPeer(now time.Time, age, underWay time.Duration) time.Time {
	return now.Add(-age - underWay)
}

// UnderWay bounds the time for which an answer was under way, given when it was asked for and how long it was held.
func UnderWay(asked, now time.Time, held time.Duration) time.Duration {
	return max(now.Sub(asked)-max(held, 0), 0)
}
