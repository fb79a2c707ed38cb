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
