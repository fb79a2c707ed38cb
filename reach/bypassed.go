package reach

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// bypassTime is the time for which upstreams are bypassed until that counts as lasting, so that a slow moment does not.
const bypassTime = 1500 * time.Millisecond

// Bypass tells whether a host has been bypassed for some time: it reaches too few upstreams for its work while other hosts
// reach more. The zero value is that of a host which is not.
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

// IsBypassed reports whether other hosts reach an upstream and this one does not.
func (w *Ways) IsBypassed(id spoke.UpstreamID) bool {
	known := w.ways[id]
	return known != nil && w.isWayBypassed(known)
}

func (w *Ways) isWayBypassed(known *way) bool {
	return known.isBypassed && (w.isCutOff || known.isLost)
}

// HasBypassed reports whether other hosts reach any upstream that this one does not.
func (w *Ways) HasBypassed() bool {
	for _, known := range w.ways {
		if w.isWayBypassed(known) {
			return true
		}
	}
	return false
}

// Observe records whether the host is bypassed now, and reports whether that lasts.
func (b *Bypass) Observe(now time.Time, isBypassed bool) bool {
	switch {
	case !isBypassed:
		b.since = time.Time{}
	case b.since.IsZero():
		b.since = now
	}
	return isBypassed && now.Sub(b.since) >= bypassTime
}
