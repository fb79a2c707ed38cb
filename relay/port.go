package relay

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"magnoliaspoke.example/spoke"
)

// port keeps an address bound while nothing listens on it: connections are refused, as
// they are when a process has ended, and no other process is given the port.
type port struct {
	socket  int
	address spoke.Address
}

// holdPort binds the address; the system chooses the port if it is 0.
func holdPort(address spoke.Address) (*port, error) {
	wanted, err := netip.ParseAddrPort(string(address))
	if err != nil {
		return nil, eris.Wrapf(err, "address %q", address)
	}
	family := unix.AF_INET
	if wanted.Addr().Is6() {
		family = unix.AF_INET6
	}
	socket, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, eris.Wrap(err, "socket")
	}
	bound, err := bindShared(socket, wanted)
	if err != nil {
		_ = unix.Close(socket)
		return nil, eris.Wrapf(err, "bind %q", address)
	}
	return &port{socket: socket, address: spoke.Address(bound.String())}, nil
}

// listen opens a listener beside the held socket.
func (p *port) listen() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		if err := raw.Control(func(socket uintptr) { failure = share(int(socket)) }); err != nil {
			return err
		}
		return failure
	}}
	listener, err := config.Listen(context.Background(), "tcp", string(p.address))
	return listener, eris.Wrapf(err, "listen on %q", p.address)
}

func (p *port) release() error {
	return eris.Wrapf(unix.Close(p.socket), "release %q", p.address)
}

func bindShared(socket int, wanted netip.AddrPort) (netip.AddrPort, error) {
	if err := share(socket); err != nil {
		return netip.AddrPort{}, err
	}
	if err := unix.Bind(socket, socketAddress(wanted)); err != nil {
		return netip.AddrPort{}, err
	}
	bound, err := unix.Getsockname(socket)
	if err != nil {
		return netip.AddrPort{}, err
	}
	number := 0
	switch typed := bound.(type) {
	case *unix.SockaddrInet4:
		number = typed.Port
	case *unix.SockaddrInet6:
		number = typed.Port
	}
	return netip.AddrPortFrom(wanted.Addr(), uint16(number)), nil
}

func socketAddress(wanted netip.AddrPort) unix.Sockaddr {
	if wanted.Addr().Is6() {
		return &unix.SockaddrInet6{Addr: wanted.Addr().As16(), Port: int(wanted.Port())}
	}
	return &unix.SockaddrInet4{Addr: wanted.Addr().As4(), Port: int(wanted.Port())}
}

// share lets several sockets of this user be bound to one address.
func share(socket int) error {
	return unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
}
