package dial_test

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/dial"
)

// Guards against an error of an established connection, over which a request may have
// been sent, that is taken for a failure to connect.
func TestFailedMatchesOnlyFailuresToConnect(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	assert.Assert(t, dial.Failed(fmt.Errorf("call: %w", errors.Join(errors.New("other"), refused))))
	for _, err := range []error{nil, errors.New("dial"), &net.OpError{Op: "read", Err: syscall.ECONNRESET}, &net.OpError{Op: "write", Err: syscall.EPIPE}} {
		assert.Assert(t, !dial.Failed(err), "%v", err)
	}
}
