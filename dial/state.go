package dial

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection in the kernel's numbering.
const (
	stateEstablished tcpState = 1
	stateClosed      tcpState = 7
	stateCloseWait   tcpState = 8
)

// tcpState is the state of a TCP connection.
type tcpState uint8

// Accepted gives an accepted connection the keep-alive probes of the connections of New; one that is not a TCP connection
// stays as it is. Its user timeout is longer, since that also ends connections whose peer reads nothing for a while.
func Accepted(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAliveConfig(keepAlive); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, acceptedUserTimeout)
}

// IsEstablished reports whether neither side has closed or reset a connection. It also holds for a connection that is not a
// TCP connection.
func IsEstablished(conn net.Conn) bool { return hasState(conn, stateEstablished) }

// IsEndedInOrder reports whether the peer alone has closed a connection, and nobody has reset it: the error of a reset is
// given to one call only, and reads behind it return io.EOF. It also holds for a connection that is not a TCP connection.
func IsEndedInOrder(conn net.Conn) bool { return hasState(conn, stateCloseWait) }

// IsOpenAndEmpty reports whether a connection without a reader is open and has no unread bytes.
func IsOpenAndEmpty(conn syscall.Conn) bool {
	control, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = control.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, errno := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		wouldBlock = errno == unix.EAGAIN
		return true
	})
	return err == nil && wouldBlock
}

// IsReset reports whether a TCP connection was reset or has failed, so that what it still holds was given up.
func IsReset(conn net.Conn) bool {
	_, isSystem := conn.(syscall.Conn)
	return isSystem && hasState(conn, stateClosed)
}

func hasState(conn net.Conn, state tcpState) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return controlErr == nil && err == nil && tcpState(info.State) == state
}
