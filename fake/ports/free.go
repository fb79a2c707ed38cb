package ports

import (
	"net"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// firstPort and the ranges after it lie below the ephemeral ports of the system, because an
	// outgoing connection could take such a port between the check and its use.
	firstPort  = 20000
	rangeCount = 40
	rangeSize  = 300
)

// triedPorts counts the ports that this process has checked.
var triedPorts atomic.Int64

// Free returns a loopback port that is free for TCP and UDP. It checks the ports of a range chosen
// by the process ID in turn, so that concurrent processes and calls rarely get the same port.
func Free() (int, error) {
	first := firstPort + os.Getpid()%rangeCount*rangeSize
	for range rangeSize {
		port := first + int(triedPorts.Add(1)%rangeSize)
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
