package relay

import (
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"magnoliaspoke.example/spoke"
)

// fillTimeout bounds the connection that fills the queue of a deafSocket, which another may have filled.
const fillTimeout = 50 * time.Millisecond

// deafSocket listens and leaves connects unanswered: the system drops them while the queue of a listening socket is
// full, which holds one connection at the smallest backlog.
type deafSocket struct {
	socket int
	filler net.Conn
	isFull bool
}

// listenDeaf opens a socket that listens on the bound address and accepts nothing.
func (p *boundPort) listenDeaf() (*deafSocket, error) {
	address, err := netip.ParseAddrPort(string(p.address))
	if err != nil {
		return nil, eris.Wrapf(err, "address %q", p.address)
	}
	family := unix.AF_INET
	if address.Addr().Is6() {
		family = unix.AF_INET6
	}
	socket, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, eris.Wrap(err, "socket")
	}
	_, err = bindReusable(socket, address)
	if err == nil {
		err = unix.Listen(socket, 0)
	}
	if err != nil {
		_ = unix.Close(socket)
		return nil, eris.Wrapf(err, "listen on %q", p.address)
	}
	return &deafSocket{socket: socket}, nil
}

// fill fills the queue; no other socket may listen on the address.
func (d *deafSocket) fill(address spoke.Address) {
	if d.isFull {
		return
	}
	d.isFull = true
	if filler, err := net.DialTimeout("tcp", string(address), fillTimeout); err == nil {
		d.filler = filler
	}
}

func (d *deafSocket) close() error {
	if d.filler != nil {
		_ = d.filler.Close()
	}
	return eris.Wrap(unix.Close(d.socket), "close")
}
