package speed

import (
	"math"
	"time"
)

const (
	// linkWindow is the time within which calls to different upstreams are compared with what is usual.
	linkWindow = time.Second
	// linkUpstreams is the least number of upstreams, and linkShare the share of them that must be slow for the host's
	// own link to be the cause.
	linkUpstreams = 3
	linkShare     = 0.75
	// linkEndShare is the share below which it no longer is.
	linkEndShare = 0.5
)

// linkSlow is the deviation from which the last call to an upstream counts as slow.
var linkSlow = math.Log(1.5)

// Link tells whether a host's calls to the upstreams of all services are slow at the same time, so that its own link or
// machine is the cause.
type Link struct {
	upstreams map[*Upstream]bool
	isSlow    bool
	// changes counts how often the link became slow or ceased to be. Calls from before and after such a change must not
	// be compared with each other.
	changes int
}

// NewLink returns a link that is not slow.
func NewLink() *Link { return &Link{upstreams: make(map[*Upstream]bool)} }

// observe records that the last call of an upstream has changed, and reports whether it must not count.
func (l *Link) observe(now time.Time, u *Upstream) bool {
	if !u.lastCall.Equal(now) {
		return l.isSlow
	}
	l.upstreams[u] = true
	slow := 0
	for other := range l.upstreams {
		switch {
		case now.Sub(other.lastCall) > linkWindow:
			delete(l.upstreams, other)
		case other.latest > linkSlow:
			slow++
		}
	}
	wasSlow := l.isSlow
	if count := float64(len(l.upstreams)); wasSlow {
		// A few calls that are quick by chance do not end it.
		l.isSlow = float64(slow) >= linkEndShare*count
	} else {
		l.isSlow = len(l.upstreams) >= linkUpstreams && float64(slow) >= linkShare*count
	}
	if l.isSlow != wasSlow {
		l.changes++
	}
	return l.isSlow
}
