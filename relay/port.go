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

// boundPort keeps an address bound while nothing listens on it: connections are refused, as
// after the end of a process, and the system assigns the port to no other process.
type boundPort struct {
	socket  int
	address spoke.Address
}

// bindPort binds the address; the system chooses the port if it is 0.
func bindPort(address spoke.Address) (*boundPort, error) {
	requested, err := netip.ParseAddrPort(string(address))
	if err != nil {
		return nil, eris.Wrapf(err, "address %q", address)
	}
	family := unix.AF_INET
	if requested.Addr().Is6() {
		family = unix.AF_INET6
	}
	socket, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, eris.Wrap(err, "socket")
	}
	bound, err := bindReusable(socket, requested)
	if err != nil {
		_ = unix.Close(socket)
		return nil, eris.Wrapf(err, "bind %q", address)
	}
	return &boundPort{socket: socket, address: spoke.Address(bound.String())}, nil
}

// listen opens a second socket that listens on the bound address.
func (p *boundPort) listen() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		if err := raw.Control(func(socket uintptr) { optionErr = setReusePort(int(socket)) }); err != nil {
			return err
		}
		return optionErr
	}}
	listener, err := config.Listen(context.Background(), "tcp", string(p.address))
	return listener, eris.Wrapf(err, "listen on %q", p.address)
}

func (p *boundPort) release() error {
	return eris.Wrapf(unix.Close(p.socket), "release %q", p.address)
}

func bindReusable(socket int, requested netip.AddrPort) (netip.AddrPort, error) {
	if err := setReusePort(socket); err != nil {
		return netip.AddrPort{}, err
	}
	if err := unix.Bind(socket, socketAddress(requested)); err != nil {
		return netip.AddrPort{}, err
	}
	bound, err := unix.Getsockname(socket)
	if err != nil {
		return netip.AddrPort{}, err
	}
	portNumber := 0
	switch address := bound.(type) {
	case *unix.SockaddrInet4:
		portNumber = address.Port
	case *unix.SockaddrInet6:
		portNumber = address.Port
	}
	return netip.AddrPortFrom(requested.Addr(), uint16(portNumber)), nil
}

func socketAddress(requested netip.AddrPort) unix.Sockaddr {
	if requested.Addr().Is6() {
		return &unix.SockaddrInet6{Addr: requested.Addr().As16(), Port: int(requested.Port())}
	}
	return &unix.SockaddrInet4{Addr: requested.Addr().As4(), Port: int(requested.Port())}
}

// setReusePort permits several sockets of the same user to be bound to one address.
func setReusePort(socket int) error {
	return unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
}
