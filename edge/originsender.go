package edge

import (
	"net/netip"
	"sync"

	"magnoliaspoke.example/spoke"
)

const (
	// maxOriginsBytes bounds the origins of one datagram, so that it fits into a packet.
	maxOriginsBytes = 1100
	// originOverhead is the approximate size of an encoded origin without its ids, datagramOverhead that of a
	// datagram without origins.
	originOverhead, datagramOverhead = 45, 90
	// queuedBytesPerStep bounds what is sent of queued origins in each originInterval, below the rate that a host
	// may send to others.
	queuedBytesPerStep = 2500
)

// originSender sends origins of streams to other hosts. It is safe for concurrent use.
type originSender struct {
	self      spoke.HostID
	transport func(spoke.HostReport, []netip.AddrPort)
	metrics   *metrics

	mu     sync.Mutex
	queues map[netip.AddrPort][]spoke.StreamOrigin
}

func newOriginSender(self spoke.HostID, transport func(spoke.HostReport, []netip.AddrPort), metrics *metrics) *originSender {
	return &originSender{self: self, transport: transport, metrics: metrics, queues: make(map[netip.AddrPort][]spoke.StreamOrigin)}
}

// send sends origins at once.
func (s *originSender) send(streams []spoke.StreamOrigin, to []netip.AddrPort) {
	if len(to) > 0 {
		s.metrics.addOriginDatagrams(len(to))
		s.transport(spoke.HostReport{Host: s.self, Origins: streams}, to)
	}
}

// queue sends an origin with one of the next steps.
func (s *originSender) queue(stream spoke.StreamOrigin, to []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range to {
		s.queues[address] = append(s.queues[address], stream)
	}
}

// sendQueued sends as many queued origins as a step may.
func (s *originSender) sendQueued() {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := 0
	for address, streams := range s.queues {
		if sent >= queuedBytesPerStep {
			return
		}
		size, count := 0, 0
		for count < len(streams) && size < maxOriginsBytes {
			size += originOverhead + len(streams[count].Request) + len(streams[count].Software)
			count++
		}
		s.send(streams[:count], []netip.AddrPort{address})
		sent += datagramOverhead + size
		if s.queues[address] = streams[count:]; count == len(streams) {
			delete(s.queues, address)
		}
	}
}
