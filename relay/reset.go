package relay

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isReset reports whether the peer has reset a connection that was not closed here. Reading would first return the bytes
// that arrived before.
func isReset(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	isClosed := false
	err = control.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isClosed = infoErr != nil || info.State == unix.BPF_TCP_CLOSE
	})
	return err != nil || isClosed
}
