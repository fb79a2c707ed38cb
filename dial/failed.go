package dial

import (
	"errors"
	"net"
)

// Failed reports whether no connection was made, so that no byte of a request can
// have left; statements that something was not run rest on it.
func Failed(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
