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

// maxDatagramBytes is the size of the read buffer; no UDP datagram is larger.
const maxDatagramBytes = 64 << 10

// Socket sends and receives load reports on a UDP port.
type Socket struct {
	conn *net.UDPConn
	log  logrus.FieldLogger
}

// Listen opens a socket on an IPv4 address.
func Listen(address netip.AddrPort, log logrus.FieldLogger) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return &Socket{conn: conn, log: log}, nil
}

// Address returns the local address of the socket.
func (s *Socket) Address() spoke.Address { return spoke.Address(s.conn.LocalAddr().String()) }

// Send sends a load report to peers; it logs errors and does not retry.
func (s *Socket) Send(report spoke.HostReport, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	raw, err := Encode(report, time.Now())
	if err != nil {
		s.log.WithError(err).Warn("load report not sent")
		return
	}
	for _, peer := range to {
		if _, err := s.conn.WriteToUDPAddrPort(raw, peer); err != nil {
			s.log.WithError(err).WithField("peer", peer).Debug("load report not sent")
		}
	}
}

// Receive calls deliver for each load report received until ctx ends, then closes the socket and
// returns the error of ctx. Invalid datagrams are logged and ignored.
func (s *Socket) Receive(ctx context.Context, deliver func(spoke.HostReport)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "receive load reports")
		}
		if err != nil {
			s.log.WithError(err).Warn("load report not received")
			continue
		}
		report, err := Decode(buffer[:n], time.Now())
		if err != nil {
			s.log.WithError(err).Warn("invalid load report ignored")
			continue
		}
		deliver(report)
	}
}
