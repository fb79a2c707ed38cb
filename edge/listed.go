package edge

import (
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

// listedUpstreams are the upstreams that the directory lists, for concurrent use.
type listedUpstreams struct {
	mu sync.Mutex
	// leavingSince holds when each of them was first known to leave, the zero time for those that stay.
	leavingSince map[spoke.UpstreamID]time.Time
	// removals holds the channels that are closed when the directory removes the entry of an upstream.
	removals map[chan struct{}]spoke.UpstreamID
}

func newListedUpstreams() *listedUpstreams {
	return &listedUpstreams{leavingSince: make(map[spoke.UpstreamID]time.Time), removals: make(map[chan struct{}]spoke.UpstreamID)}
}

func (l *listedUpstreams) apply(change spoke.DirectoryChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.leavingSince
	if change.IsSnapshot && !change.KeepsUnlisted {
		l.leavingSince = make(map[spoke.UpstreamID]time.Time)
	}
	for _, listed := range change.Upstreams {
		l.leavingSince[listed.ID] = leavingSince(listed, before[listed.ID])
	}
	for _, id := range change.RemovedUpstreams {
		delete(l.leavingSince, id)
		l.endRemovals(id)
	}
}

// leavingSince returns since when an upstream is known to leave, given that time before its newest entry.
func leavingSince(listed spoke.ListedUpstream, before time.Time) time.Time {
	switch {
	case !listed.IsLeaving:
		return time.Time{}
	case before.IsZero():
		return time.Now()
	}
	return before
}

func (l *listedUpstreams) endRemovals(id spoke.UpstreamID) {
	for removed, awaited := range l.removals {
		if awaited == id {
			close(removed)
			delete(l.removals, removed)
		}
	}
}

// isStaying reports whether the upstream is listed and has not announced that it leaves.
func (l *listedUpstreams) isStaying(id spoke.UpstreamID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, isListed := l.leavingSince[id]
	return isListed && since.IsZero()
}

// leavingFor returns how long a listed upstream has been known to leave, zero if it is not.
func (l *listedUpstreams) leavingFor(id spoke.UpstreamID, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := l.leavingSince[id]
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// watchRemoval returns a channel that is closed when the directory removes the entry of the upstream. The returned
// function ends the watch.
func (l *listedUpstreams) watchRemoval(id spoke.UpstreamID) (<-chan struct{}, func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	removed := make(chan struct{})
	l.removals[removed] = id
	return removed, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.removals, removed)
	}
}
