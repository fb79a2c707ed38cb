package coord_test

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/coord"
	"magnoliaspoke.example/spoke/fake/kvsvc"
)

// stallingListener can stall its open connections permanently while new ones work.
type stallingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*stallingConn
}

type stallingConn struct {
	net.Conn
	stalled chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func (l *stallingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &stallingConn{Conn: conn, stalled: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, accepted)
	return accepted, nil
}

func (l *stallingListener) stallAll() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		close(conn.stalled)
	}
	return len(l.conns)
}

func (c *stallingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	select {
	case <-c.stalled:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *stallingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against one timeout for each stalled connection in the pool.
func TestStalledPooledConnectionsCostOneTimeout(t *testing.T) {
	service := kvsvc.New()
	server := httptest.NewUnstartedServer(service)
	listener := &stallingListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	client := coord.New(spoke.Address(listener.Addr().String()), coord.WithTimeout(200*time.Millisecond))
	ctx := context.Background()

	service.SetFaults(kvsvc.Faults{Outage: kvsvc.OutageHold})
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			_, err := client.Hosts(ctx)
			assert.Check(t, err)
		})
	}
	for open := 0; open < 3; {
		listener.mu.Lock()
		open = len(listener.conns)
		listener.mu.Unlock()
	}
	service.SetFaults(kvsvc.Faults{})
	wg.Wait()

	assert.Equal(t, listener.stallAll(), 3)
	_, err := client.Hosts(ctx)
	assert.ErrorIs(t, err, spoke.ErrUnavailable)
	_, err = client.Hosts(ctx)
	assert.NilError(t, err)
	client.Close()
	server.CloseClientConnections()
	server.Close()
}
