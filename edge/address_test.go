package edge_test

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against tests whose hosts get what those of a test before still send while they stop: an address of it that was
// free too soon brought them reports of software versions that no engine of theirs had.
func TestAddressesAreKeptUntilHostsHaveEnded(t *testing.T) {
	var hosts []linkedHost
	ended := t.Run("ended", func(t *testing.T) { hosts = startLinked(t, 3, 1) })
	assert.Assert(t, ended)
	addresses := []string{hosts[0].store.Address(), hosts[0].engines[0].Address()}
	for _, host := range hosts {
		addresses = append(addresses, string(host.storeLink.Address()))
	}
	for name, path := range hosts[0].network.paths {
		addresses = append(addresses, string(path.Address()))
		socket, err := net.ListenPacket("udp4", string(path.Address()))
		assert.Check(t, errors.Is(err, syscall.EADDRINUSE), "datagrams %s: %v", name, err)
		if err == nil {
			socket.Close()
		}
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp4", address)
		assert.Check(t, errors.Is(err, syscall.EADDRINUSE), "%s: %v", address, err)
		if err == nil {
			listener.Close()
		}
	}
}
