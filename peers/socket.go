package peers

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

// largest is the size of the largest datagram that is read.
const largest = 64 << 10

// Socket sends and receives accounts.
type Socket struct {
	conn *net.UDPConn
	log  logrus.FieldLogger
}

// Listen opens the socket on an address.
func Listen(at netip.AddrPort, log logrus.FieldLogger) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", at)
	}
	return &Socket{conn: conn, log: log}, nil
}

// Address returns the address of the socket.
func (s *Socket) Address() spoke.Address { return spoke.Address(s.conn.LocalAddr().String()) }

// Send sends an account to peers; a datagram that cannot be sent counts as lost.
func (s *Socket) Send(share spoke.HostReport, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	raw, err := Encode(share, time.Now())
	if err != nil {
		s.log.WithError(err).Warn("load account not sent")
		return
	}
	for _, peer := range to {
		if _, err := s.conn.WriteToUDPAddrPort(raw, peer); err != nil {
			s.log.WithError(err).WithField("peer", peer).Debug("load account not sent")
		}
	}
}

// Receive passes accounts on until ctx ends.
func (s *Socket) Receive(ctx context.Context, deliver func(spoke.HostReport)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, largest)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "receive load accounts")
		}
		if err != nil {
			s.log.WithError(err).Warn("load account not received")
			continue
		}
		share, err := Decode(buffer[:n], time.Now())
		if err != nil {
			s.log.WithError(err).Warn("load account ignored")
			continue
		}
		deliver(share)
	}
}
