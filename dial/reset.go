package dial

import (
	"context"
	"net"
)

type (
	// lingerer is a connection that Close resets if zero seconds are set.
	lingerer interface {
		SetLinger(seconds int) error
	}

	// resetter is a connection that knows how to reset itself.
	resetter interface {
		Reset() error
	}
)

// Reset closes a connection with a reset, which drops the bytes that a partition holds up; one that cannot be reset is
// closed in order.
func Reset(conn net.Conn) error {
	if own, ok := conn.(resetter); ok {
		return own.Reset()
	}
	if tcp, ok := conn.(lingerer); ok {
		_ = tcp.SetLinger(0)
	}
	return conn.Close()
}

// ResetOnClose returns a function that dials connections which Close resets. A reset drops the bytes that a partition
// holds up, so that a request does not arrive after its sender has given it up.
func ResetOnClose(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if resettable, ok := conn.(lingerer); ok {
			// A connection that keeps the usual setting is closed in order and still usable.
			_ = resettable.SetLinger(0)
		}
		return conn, nil
	}
}
