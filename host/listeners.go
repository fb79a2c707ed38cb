package host

import (
	"net"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/ready"
)

type (
	// Listeners are the open sockets of an entry host.
	Listeners struct {
		Caller   net.Listener
		Internal net.Listener
		Admin    net.Listener
		Metrics  net.Listener
	}
)

// Listen opens the sockets that the settings name.
func Listen(settings config.Entry) (Listeners, error) {
	var l Listeners
	for _, open := range []struct {
		address spoke.Address
		into    *net.Listener
	}{
		{settings.Caller, &l.Caller}, {settings.Internal, &l.Internal},
		{settings.Admin, &l.Admin}, {settings.Metrics, &l.Metrics},
	} {
		listener, err := net.Listen("tcp", string(open.address))
		if err != nil {
			l.Close()
			return Listeners{}, eris.Wrapf(err, "listen on %s", open.address)
		}
		*open.into = listener
	}
	return l, nil
}

// Close closes the sockets that are open.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.Caller, l.Internal, l.Admin, l.Metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Line returns the addresses for the program's ready line.
func (l Listeners) ReadyLine() ready.Line {
	return ready.Line{Addresses: map[ready.Listener]spoke.Address{
		ready.Caller:   address(l.Caller),
		ready.Internal: address(l.Internal),
		ready.Admin:    address(l.Admin),
		ready.Metrics:  address(l.Metrics),
	}}
}

func address(listener net.Listener) spoke.Address {
	return spoke.Address(listener.Addr().String())
}
