package reach

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// bypassTime is the time for which upstreams are bypassed until that counts as lasting, so that a slow moment does not.
const bypassTime = 1500 * time.Millisecond

// Bypass tells whether a host has to connect to most of some upstreams through other hosts for some time. The zero value
// is that of a host which does not.
type Bypass struct {
	// since is when that was first observed, zero if it is not the case.
	since time.Time
}

// Relayed records whether another host that was asked to connect to an upstream in place of this one did so.
func (w *Ways) Relayed(id spoke.UpstreamID, isConnected bool) {
	if known := w.ways[id]; known != nil {
		known.isBypassed = isConnected
	}
}

// CountBypassed returns how many of some upstreams are reached by other hosts and not by this one.
func (w *Ways) CountBypassed(ids []spoke.UpstreamID) int {
	count := 0
	for _, id := range ids {
		if known := w.ways[id]; known != nil && known.isBypassed && w.IsLost(id) {
			count++
		}
	}
	return count
}

// Observe records whether the upstreams are bypassed now, and reports whether that lasts.
func (b *Bypass) Observe(now time.Time, isBypassed bool) bool {
	switch {
	case !isBypassed:
		b.since = time.Time{}
	case b.since.IsZero():
		b.since = now
	}
	return isBypassed && now.Sub(b.since) >= bypassTime
}
