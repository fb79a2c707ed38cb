package ports

import (
	"net"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// firstPort and the ranges after it lie below the ports that systems give to outgoing
	// connections, which could take a port between its choice and its use.
	firstPort = 20000
	ranges    = 120
	rangeSize = 100
)

// chosen counts the ports that were tried by this process.
var chosen atomic.Int64

// Free returns a port of the loopback address that is free for TCP and UDP. Each process takes its
// ports from a range of its own and in turn, so that two choices do not meet.
func Free() (int, error) {
	first := firstPort + os.Getpid()%ranges*rangeSize
	for range rangeSize {
		port := first + int(chosen.Add(1)%rangeSize)
		if isFree(port) {
			return port, nil
		}
	}
	return 0, eris.Errorf("no free port from %d to %d", first, first+rangeSize-1)
}

func isFree(port int) bool {
	loopback := net.IPv4(127, 0, 0, 1)
	stream, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: loopback, Port: port})
	if err != nil {
		return false
	}
	defer func() { _ = stream.Close() }()
	datagrams, err := net.ListenUDP("udp4", &net.UDPAddr{IP: loopback, Port: port})
	if err != nil {
		return false
	}
	_ = datagrams.Close()
	return true
}
