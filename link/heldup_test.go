package link_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/link"
	"magnoliaspoke.example/spoke/relay"
)

// Guards against a request that an upstream runs after its exchange has ended, since a partition held its bytes up and
// the connection was closed in order.
func TestRequestHeldUpByCutIsNotDeliveredAfterItsEnd(t *testing.T) {
	for _, isReused := range []bool{false, true} {
		ran := make(chan string, 10)
		way, err := relay.New("127.0.0.1:0", upstream(t, func(conn net.Conn, request *http.Request) {
			ran <- request.URL.Path
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}))
		assert.NilError(t, err)
		pool := link.New()
		if isReused {
			_, err = get(t, pool, way.Address())
			assert.NilError(t, err)
			assert.Equal(t, <-ran, "/a")
		}
		way.Cut()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, err = pool.Do(ctx, link.Request{Address: way.Address(), Method: http.MethodPost, Target: "/late", HostName: "h", Body: []byte("b")}, acceptAny)
		cancel()
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		way.Restore()
		awaitNoConnections(t, way)
		assert.Equal(t, len(ran), 0, "the upstream ran the request, connection reused: %t", isReused)
		assert.NilError(t, pool.Close())
		assert.NilError(t, way.Close())
	}
}

// Guards against a reset that destroys a request or an idle connection after a complete exchange.
func TestCompleteExchangeIsClosedInOrder(t *testing.T) {
	ended := make(chan error, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		serve(endingConn{conn, ended}, func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
		})
	}()
	pool := link.New()
	_, err = get(t, pool, spoke.Address(listener.Addr().String()))
	assert.NilError(t, err)
	assert.Equal(t, pool.Idle(), 0)
	assert.ErrorIs(t, <-ended, io.EOF)
}

// endingConn reports the error that ends reading.
type endingConn struct {
	net.Conn
	ended chan<- error
}

func (c endingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err != nil {
		c.ended <- err
	}
	return n, err
}

func awaitNoConnections(t *testing.T, way *relay.Relay) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if way.OpenConnections() == 0 {
			return poll.Success()
		}
		return poll.Continue("connections are open")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}
