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

// freezing lets its open connections go silent for good while new ones work.
type freezing struct {
	net.Listener
	mu   sync.Mutex
	open []*silent
}

type silent struct {
	net.Conn
	frozen chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (f *freezing) Accept() (net.Conn, error) {
	conn, err := f.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &silent{Conn: conn, frozen: make(chan struct{}), closed: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open = append(f.open, s)
	return s, nil
}

func (f *freezing) freeze() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.open {
		close(conn.frozen)
	}
	return len(f.open)
}

func (s *silent) Read(into []byte) (int, error) {
	n, err := s.Conn.Read(into)
	select {
	case <-s.frozen:
		<-s.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (s *silent) Close() error {
	s.once.Do(func() { close(s.closed) })
	return s.Conn.Close()
}

// Guards against one timeout for each pooled connection that has gone silent.
func TestSilentConnectionsCostOneTimeout(t *testing.T) {
	service := kvsvc.New()
	server := httptest.NewUnstartedServer(service)
	listener := &freezing{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	client := coord.New(spoke.Address(listener.Addr().String()), coord.WithTimeout(200*time.Millisecond))
	ctx := context.Background()

	service.SetFaults(kvsvc.Faults{Outage: kvsvc.OutageHold})
	var group sync.WaitGroup
	for range 3 {
		group.Go(func() {
			_, err := client.Hosts(ctx)
			assert.Check(t, err)
		})
	}
	for open := 0; open < 3; {
		listener.mu.Lock()
		open = len(listener.open)
		listener.mu.Unlock()
	}
	service.SetFaults(kvsvc.Faults{})
	group.Wait()

	assert.Equal(t, listener.freeze(), 3)
	_, err := client.Hosts(ctx)
	assert.ErrorIs(t, err, spoke.ErrUnavailable)
	_, err = client.Hosts(ctx)
	assert.NilError(t, err)
	client.Close()
	server.CloseClientConnections()
	server.Close()
}
