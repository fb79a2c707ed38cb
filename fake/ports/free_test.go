package ports_test

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/fake/ports"
)

// Guards against a port that is free for TCP only: a host that also listens for UDP datagrams
// failed to start on a port that had been checked only for TCP.
func TestFreeSkipsPortsUsedByUDP(t *testing.T) {
	first, err := ports.Free()
	assert.NilError(t, err)
	taken, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: first + 1})
	assert.NilError(t, err)
	defer taken.Close()
	second, err := ports.Free()
	assert.NilError(t, err)
	assert.Assert(t, second != first && second != first+1, "%d after %d", second, first)
}

// Guards against two processes whose ids select the same range: one got a port that the other was about to use.
func TestClaimedRangesShareNoPort(t *testing.T) {
	const start, count = 7, 5
	taken := make(map[int]bool)
	for range count {
		claimed, err := ports.Claim(start)
		assert.NilError(t, err)
		defer claimed.Release()
		for range 20 {
			port, err := claimed.Free()
			assert.NilError(t, err)
			assert.Assert(t, !taken[port], "%d", port)
		}
		for offset := range 300 {
			port, err := claimed.Free()
			assert.NilError(t, err, "%d", offset)
			taken[port] = true
		}
	}
}
