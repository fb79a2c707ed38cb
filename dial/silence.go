package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeAfter and probeEvery find a connection whose other end is gone within about two
	// seconds, without a message of our own.
	probeAfter = time.Second
	probeEvery = 500 * time.Millisecond
	probeLimit = 3
	// unacknowledged is how long sent bytes may stay without an acknowledgement.
	unacknowledged = 2 * time.Second
)

// New returns a dialer whose connections report an error when the other end falls silent,
// although no reset arrives.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeLimit,
		},
		Control: limitSilence,
	}
}

func limitSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
