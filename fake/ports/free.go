package ports

import (
	"net"
	"os"
	"sync"
)

const (
	// firstPort and the ranges after it lie below the ephemeral ports of the system, because an
	// outgoing connection could take such a port between the check and its use.
	firstPort  = 20000
	rangeCount = 40
	rangeSize  = 300
)

// own is the range of this process, which it keeps until it ends.
var own = sync.OnceValues(func() (*Range, error) { return Claim(os.Getpid()) })

// Free returns a loopback port that is free for TCP and UDP. It checks the ports of the process's
// range in turn, so that concurrent processes never get the same port, and calls rarely.
func Free() (int, error) {
	claimed, err := own()
	if err != nil {
		return 0, err
	}
	return claimed.Free()
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
