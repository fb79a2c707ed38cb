package plain_test

import (
	"context"
	"flag"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/plain"
	"magnoliaspoke.example/spoke/timer"
)

var errLost = eris.New("connection lost")

type (
	// upstreams plays one act for each attempt and counts the runs.
	upstreams struct {
		spoke.Dispatcher
		mu        sync.Mutex
		acts      []string
		runs      map[spoke.IdempotencyKey]int
		byRequest map[spoke.RequestID]int
		seen      []spoke.CallDispatch
		// delay is the time before a call runs.
		delay time.Duration
	}

	// claims is a claim table in memory whose answers can get lost.
	claims struct {
		mu      sync.Mutex
		acts    []string
		records map[spoke.ClaimID]spoke.ClaimRecord
	}

	site struct{ manifest *spoke.Manifest }
)

// A fixed seed keeps runs repeatable; -rapid.seed on the command line takes precedence.
var _ = flag.Set("rapid.seed", "1")

func take(acts *[]string) string {
	if len(*acts) == 0 {
		return ""
	}
	act := (*acts)[0]
	*acts = (*acts)[1:]
	return act
}

func (u *upstreams) Call(ctx context.Context, dispatch spoke.CallDispatch) (spoke.PlainAnswer, error) {
	if u.delay > 0 {
		<-time.After(u.delay)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seen = append(u.seen, dispatch)
	act := take(&u.acts)
	switch act {
	case "refused":
		return spoke.PlainAnswer{}, spoke.RefuseNotRun(spoke.CodeOverloaded, "queue is full")
	case "unreachable":
		return spoke.PlainAnswer{}, eris.Wrap(spoke.ErrNotRun, "no connection")
	case "not-run":
		return spoke.PlainAnswer{Status: 503, Header: http.Header{"X-Not-Run": {"true"}, "Retry-After": {"3"}}}, nil
	}
	u.runs[dispatch.Call.Key]++
	u.byRequest[dispatch.Call.Request]++
	switch act {
	case "cut":
		return spoke.PlainAnswer{}, errLost
	case "died":
		return spoke.PlainAnswer{}, spoke.ErrUpstreamDied
	case "silent":
		u.mu.Unlock()
		<-ctx.Done()
		u.mu.Lock()
		return spoke.PlainAnswer{}, ctx.Err()
	}
	return spoke.PlainAnswer{Status: 200, Body: []byte(dispatch.Call.Attempt)}, nil
}

func (c *claims) Claim(_ context.Context, request spoke.ClaimRequest) (bool, spoke.ClaimRecord, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	act := take(&c.acts)
	if act == "outage" {
		return false, spoke.ClaimRecord{}, errLost
	}
	if record, ok := c.records[request.ID]; ok {
		return false, record, nil
	}
	c.records[request.ID] = spoke.ClaimRecord{ClaimRequest: request, State: spoke.ClaimHeld}
	if act == "lost" {
		return false, spoke.ClaimRecord{}, errLost
	}
	return true, spoke.ClaimRecord{}, nil
}

func (c *claims) Finish(_ context.Context, request spoke.ClaimRequest, answer spoke.PlainAnswer) error {
	return c.update(request, func() {
		c.records[request.ID] = spoke.ClaimRecord{ClaimRequest: request, State: spoke.ClaimDone, Answer: &answer}
	})
}

func (c *claims) Release(_ context.Context, request spoke.ClaimRequest) error {
	return c.update(request, func() { delete(c.records, request.ID) })
}

func (c *claims) update(request spoke.ClaimRequest, write func()) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	act := take(&c.acts)
	if act == "outage" {
		return errLost
	}
	if c.records[request.ID].Attempt == request.Attempt {
		write()
	}
	if act == "lost" {
		return errLost
	}
	return nil
}

func (s site) Current() *spoke.Manifest { return s.manifest }

func (site) Views(spoke.ServiceName) []spoke.UpstreamView { return nil }

// Choose returns all upstreams that are not excluded, in a fixed order.
func (site) Choose(_ time.Time, query spoke.RouteQuery, _ []spoke.UpstreamView) []spoke.UpstreamID {
	all := []spoke.UpstreamID{"order-1", "order-2", "order-3", "order-4"}
	return slices.DeleteFunc(all, func(id spoke.UpstreamID) bool { return query.Exclude[id] })
}

func newExecutor(dispatcher spoke.Dispatcher, table *claims, opts ...plain.Option) *plain.Executor {
	var none *spoke.Manifest
	here := site{none.Apply(spoke.Ticket{Number: 1, Objects: []spoke.Object{
		spoke.Service{
			Name: "orders", Kind: spoke.ServicePlain,
			NonRepeatable: []spoke.CallPattern{{Method: "POST", PathPrefix: "/bookings"}},
		},
		spoke.Rank{Name: "normal"},
	}})}
	quiet := &logrus.Logger{Out: io.Discard}
	parts := plain.Dependencies{Manifests: here, Views: here, Router: here, Dispatcher: dispatcher, Claims: table, Timer: timer.NewSystem()}
	return plain.NewExecutor(parts, append([]plain.Option{plain.WithLog(quiet), plain.WithHost("host-1")}, opts...)...)
}

func newUpstreams(acts ...string) *upstreams {
	return &upstreams{acts: acts, runs: make(map[spoke.IdempotencyKey]int), byRequest: make(map[spoke.RequestID]int)}
}

func newClaims(acts ...string) *claims {
	return &claims{acts: acts, records: make(map[spoke.ClaimID]spoke.ClaimRecord)}
}

func booking(id spoke.RequestID, key spoke.IdempotencyKey, body string) spoke.ServiceCall {
	return spoke.ServiceCall{
		ID: id, Workspace: "sialkot", Service: "orders", Rank: "normal",
		Method: "POST", Path: "/bookings/7", Body: []byte(body), Key: key,
	}
}
