package relay

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isReset reports whether the peer has reset a connection that was not read yet. Reading would first return the bytes
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
	failure := 0
	err = control.Control(func(fd uintptr) {
		failure, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	})
	return err != nil || failure != 0
}
