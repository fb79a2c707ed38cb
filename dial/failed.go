package dial

import (
	"errors"
	"net"
)

// Failed reports whether err means that no connection was established, so that no
// byte of a request can have been sent. Callers rely on it to report that a request
// was not run.
func Failed(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
