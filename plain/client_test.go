package plain_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	standin "magnoliaspoke.example/spoke/fake/plain"
	"magnoliaspoke.example/spoke/plain"
)

// directDispatcher sends all attempts to one address.
type directDispatcher struct {
	spoke.Dispatcher
	client *plain.Client
	at     spoke.Address
}

func (d directDispatcher) Call(ctx context.Context, dispatch spoke.CallDispatch) (spoke.PlainAnswer, error) {
	return d.client.Call(ctx, d.at, dispatch.Call)
}

func startServer(t *testing.T, service http.Handler) (*httptest.Server, spoke.Address) {
	t.Helper()
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return server, spoke.Address(server.Listener.Addr().String())
}

// Guards against a call reported as not run although the service ran it, and the reverse.
func TestClientReportsWhetherBytesWereSent(t *testing.T) {
	client := plain.NewClient()
	defer client.Close()
	service := standin.New()
	server, at := startServer(t, service)
	call := spoke.PlainCall{Request: "r", Attempt: "r-1", Method: "POST", Path: "/bookings/7?a=1", Body: []byte("x"), Key: "k", FreshConnection: true}

	answer, err := client.Call(context.Background(), at, call)
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body),
		`{"method":"POST","path":"/bookings/7?a=1","body-sha256":"2d711642b726b04401627ca9fbac32f5c8530fb1903cc4db02258717921a4881"}`+"\n")

	service.SetFaults(standin.Faults{Cut: 1})
	_, err = client.Call(context.Background(), at, call)
	assert.Assert(t, err != nil && !errors.Is(err, spoke.ErrNotRun), "%v", err)
	assert.Equal(t, service.Runs().ByKey["k"], 2)
	assert.Equal(t, service.Runs().ByAttempt["r-1"], 2)

	callerCtx, disconnect := context.WithCancel(context.Background())
	disconnect()
	_, err = client.Call(callerCtx, at, call)
	assert.ErrorIs(t, err, spoke.ErrNotRun)
	bad := call
	bad.Path = "@other/x"
	_, err = client.Call(context.Background(), at, bad)
	assert.ErrorIs(t, err, spoke.ErrNotRun)
	server.Close()
	_, err = client.Call(context.Background(), at, call)
	assert.ErrorIs(t, err, spoke.ErrNotRun)
	assert.Equal(t, service.Runs().Total, 2)
}

// Guards against retries by net/http: on a reused connection the transport sends a request
// with an Idempotency-Key again if the connection is closed without a response.
func TestFreshConnectionsAreNeverReused(t *testing.T) {
	client := plain.NewClient()
	defer client.Close()
	service := standin.New()
	var conns sync.Map
	_, at := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conns.Store(r.RemoteAddr, true)
		service.ServeHTTP(w, r)
	}))
	count := func() (n int) {
		conns.Range(func(any, any) bool { n++; return true })
		return n
	}
	call := spoke.PlainCall{Attempt: "r-1", Method: "POST", Path: "/bookings", Key: "k"}
	for range 2 {
		_, err := client.Call(context.Background(), at, call)
		assert.NilError(t, err)
	}
	assert.Equal(t, count(), 1)
	service.SetFaults(standin.Faults{Cut: 1})
	call.FreshConnection, call.Key = true, "once"
	_, err := client.Call(context.Background(), at, call)
	assert.Assert(t, err != nil)
	assert.Equal(t, service.Runs().ByKey["once"], 1)
	assert.Equal(t, count(), 2)
}

// Guards against a second run of a booking over TCP connections when the response to the
// first attempt is a refusal, is cut off or never arrives.
func TestBookingOverLoopback(t *testing.T) {
	client := plain.NewClient()
	defer client.Close()
	service := standin.New(standin.WithFaults(standin.Faults{Refuse: 1}))
	_, at := startServer(t, service)
	table := newFakeClaims()
	e := newExecutor(directDispatcher{client: client, at: at}, table, plain.WithTimeouts(time.Second, 200*time.Millisecond))
	defer e.Wait()

	_, err := e.Call(context.Background(), booking("r1", "a", "x"))
	assert.Equal(t, refusalIn(err).Outcome, spoke.OutcomeNotRun)
	assert.Equal(t, refusalIn(err).RetryAfter, time.Second)
	for _, faults := range []standin.Faults{{Cut: 1}, {Silent: 1}} {
		service.SetFaults(faults)
		key := spoke.IdempotencyKey([]string{"a", "b"}[faults.Silent])
		_, err = e.Call(context.Background(), booking("r2", key, "x"))
		assert.Equal(t, refusalIn(err).Outcome, spoke.OutcomeUnknown)
		_, err = e.Call(context.Background(), booking("r3", key, "x"))
		assert.Equal(t, refusalIn(err).Code, spoke.CodeAlreadyRun)
		assert.Equal(t, refusalIn(err).Outcome, spoke.OutcomeUnknown)
		assert.Equal(t, refusalIn(err).RetryAfter, time.Duration(0))
		assert.Equal(t, service.Runs().ByKey[key], 1)
	}
}
