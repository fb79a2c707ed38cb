package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// minDoubted is the least number of upstreams that a host whose own ways are lost doubts at the same time.
	minDoubted = 2
	// distrustTime is how long the doubts of a host do not count after it doubted too many upstreams. They end one
	// by one, and a host that is still cut off renews each when it tries the upstream again.
	distrustTime = maxBackoff
)

type (
	// doubt is the word of another host, received at a time, that it could not connect to an upstream.
	doubt struct {
		at, until time.Time
		// counts is false if the host doubts too many upstreams to be believed.
		counts bool
	}

	// doubter is a host that doubts upstreams of a service.
	doubter struct {
		service spoke.ServiceName
		host    spoke.HostID
	}
)

// applyDoubts applies the doubts of a report. A host that doubts more than half of a service's upstreams has more
// likely lost its own ways, so none of its doubts of that service count.
func (s *Scheduler) applyDoubts(now time.Time, report spoke.HostReport) {
	services := make(map[spoke.ServiceName]bool)
	for id, pause := range report.Doubts {
		n := s.nodes[id]
		if n == nil {
			continue
		}
		n.doubts[report.Host] = doubt{at: now, until: now.Add(pause)}
		services[n.listed.Service] = true
	}
	for service := range services {
		s.weighDoubts(now, doubter{service, report.Host})
	}
}

// weighDoubts decides whether the doubts of a host count.
func (s *Scheduler) weighDoubts(now time.Time, from doubter) {
	nodes := s.byService[from.service]
	doubted := 0
	for _, n := range nodes {
		if now.Before(n.doubts[from.host].until) {
			doubted++
		}
	}
	if doubted >= minDoubted && 2*doubted > len(nodes) {
		if !now.Before(s.distrusted[from]) {
			s.actions = append(s.actions, DoubtsIgnored{Host: from.host, Service: from.service, Doubted: doubted, Upstreams: len(nodes)})
		}
		s.distrusted[from] = now.Add(distrustTime)
	}
	counts := !now.Before(s.distrusted[from])
	for _, n := range nodes {
		if known, ok := n.doubts[from.host]; ok {
			known.counts = counts
			n.doubts[from.host] = known
		}
	}
}

// isDoubted reports whether another host doubts the upstream, which has shown no progress since.
func (n *node) isDoubted(now time.Time) bool {
	for _, known := range n.doubts {
		if known.counts && now.Before(known.until) && !n.progressAt.After(known.at) {
			return true
		}
	}
	return false
}

// avoids reports whether a call should not go to an upstream since another host doubts it.
func (s *Scheduler) avoids(now time.Time, n *node, m Request) bool {
	return n.isDoubted(now) && isAnySound(now, s.cellNodes[m.Service], m)
}

// isAnySound reports whether an upstream that no host doubts is usable. While there is none, doubts are ignored, so
// that they never are the only reason against a call.
func isAnySound(now time.Time, nodes []*node, m Request) bool {
	for _, n := range nodes {
		if n.isUsable(now) && n.suits(m) && !n.isDoubted(now) {
			return true
		}
	}
	return false
}

// removeDoubts drops the doubts of a host that has left.
func (s *Scheduler) removeDoubts(host spoke.HostID) {
	for _, n := range s.nodes {
		delete(n.doubts, host)
	}
}
