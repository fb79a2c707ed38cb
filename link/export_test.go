package link

import (
	"context"
	"net"
)

// WithConns replaces each connection that a pool opens.
func WithConns(replace func(*net.TCPConn) net.Conn) Option {
	return func(p *Pool) {
		dial := p.dial
		p.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return replace(raw.(*net.TCPConn)), nil
		}
	}
}
