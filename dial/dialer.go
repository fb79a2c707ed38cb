package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// The keep-alive probes detect within about two seconds that the peer of an idle connection
	// no longer exists.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// userTimeout is the time for which sent bytes may stay unacknowledged, acceptedUserTimeout the same for accepted
	// connections, whose peers may pass on a stream to a slow reader.
	userTimeout         = 2 * time.Second
	acceptedUserTimeout = 10 * time.Second
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// New returns a dialer whose connections fail when the peer stops responding, even if no reset
// arrives; timeout bounds the time to connect.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive,
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, userTimeout) },
	}
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
