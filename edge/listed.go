package edge

import (
	"sync"

	"magnoliaspoke.example/spoke"
)

// listedUpstreams are the upstreams that the directory lists, for concurrent use.
type listedUpstreams struct {
	mu sync.Mutex
	// staying holds those that have not announced that they leave.
	staying map[spoke.UpstreamID]bool
}

func newListedUpstreams() *listedUpstreams {
	return &listedUpstreams{staying: make(map[spoke.UpstreamID]bool)}
}

func (l *listedUpstreams) apply(change spoke.DirectoryChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if change.IsSnapshot && !change.KeepsUnlisted {
		clear(l.staying)
	}
	for _, listed := range change.Upstreams {
		l.staying[listed.ID] = !listed.IsLeaving
	}
	for _, id := range change.RemovedUpstreams {
		delete(l.staying, id)
	}
}

// isStaying reports whether the upstream is listed and has not announced that it leaves.
func (l *listedUpstreams) isStaying(id spoke.UpstreamID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.staying[id]
}
