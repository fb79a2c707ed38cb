package dial

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// probeTimeout bounds one connection attempt that shows whether a process has ended.
	probeTimeout = 250 * time.Millisecond
	// endTime is the time within which the sockets of a process that ends are closed.
	endTime = 30 * time.Millisecond
	// recheckTime is the time of the last look at a connection, which finds what has arrived.
	recheckTime = time.Millisecond
	// maxProbes bounds the connections that show whether a process has ended.
	maxProbes = 3
)

// HasEnded reports whether the process at an address has ended. Only a refused connection shows that: an address that
// does not answer may be cut off.
func HasEnded(ctx context.Context, address string) bool {
	for range maxProbes {
		isClosed, err := probeUntilClosed(ctx, address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		if !isClosed {
			return false
		}
	}
	return false
}

// probeUntilClosed connects and reports whether the connection is closed soon: the listener of a process that ends may be
// closed after its connections, and resets those that it has not accepted.
func probeUntilClosed(ctx context.Context, address string) (isClosed bool, err error) {
	conn, err := New(probeTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	if isClosedWithin(conn, endTime) {
		return true, nil
	}
	// This process may not have run when the connection was closed.
	return isClosedWithin(conn, recheckTime), nil
}

func isClosedWithin(conn net.Conn, wait time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	_, err := conn.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}
