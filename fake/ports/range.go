package ports

import (
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Range is a range of loopback ports that one process has claimed; its methods are safe for concurrent use.
type Range struct {
	// claim listens on the first port, which no other process can do meanwhile.
	claim net.Listener
	first int
	tried atomic.Int64
}

// Claim returns the first range that is not claimed, from the given one on, counted modulo their number.
func Claim(start int) (*Range, error) {
	for i := range rangeCount {
		first := firstPort + (start+i)%rangeCount*rangeSize
		claim, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: first})
		if err == nil {
			return &Range{claim: claim, first: first}, nil
		}
	}
	return nil, eris.Errorf("all %d ranges of ports are claimed", rangeCount)
}

// Free returns a port of the range that is free for TCP and UDP.
func (r *Range) Free() (int, error) {
	for range rangeSize {
		port := r.first + 1 + int(r.tried.Add(1)%(rangeSize-1))
		if isFree(port) {
			return port, nil
		}
	}
	return 0, eris.Errorf("no free port from %d to %d", r.first+1, r.first+rangeSize-1)
}

// Release ends the claim.
func (r *Range) Release() { _ = r.claim.Close() }
