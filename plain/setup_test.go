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
	// fakeUpstreams applies one scripted behaviour to each attempt and counts the runs.
	fakeUpstreams struct {
		spoke.Dispatcher
		mu         sync.Mutex
		behaviours []string
		runs       map[spoke.IdempotencyKey]int
		byRequest  map[spoke.RequestID]int
		dispatches []spoke.CallDispatch
		// delay is the time between the dispatch of a call and its run.
		delay time.Duration
	}

	// fakeClaims is a claim table in memory. A scripted behaviour of "outage" makes a request
	// fail, "lost" applies it and loses its response.
	fakeClaims struct {
		mu         sync.Mutex
		behaviours []string
		records    map[spoke.ClaimID]spoke.ClaimRecord
	}

	// staticRouting serves a fixed manifest and a fixed list of upstreams.
	staticRouting struct{ manifest *spoke.Manifest }
)

// A fixed seed makes runs reproducible; -rapid.seed on the command line takes precedence.
var _ = flag.Set("rapid.seed", "1")

// nextBehaviour removes and returns the first behaviour, empty if none is left.
func nextBehaviour(behaviours *[]string) string {
	if len(*behaviours) == 0 {
		return ""
	}
	behaviour := (*behaviours)[0]
	*behaviours = (*behaviours)[1:]
	return behaviour
}

func (u *fakeUpstreams) Call(ctx context.Context, dispatch spoke.CallDispatch) (spoke.PlainAnswer, error) {
	if u.delay > 0 {
		<-time.After(u.delay)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dispatches = append(u.dispatches, dispatch)
	behaviour := nextBehaviour(&u.behaviours)
	switch behaviour {
	case "refused":
		return spoke.PlainAnswer{}, spoke.RefuseNotRun(spoke.CodeOverloaded, "queue is full")
	case "unreachable":
		return spoke.PlainAnswer{}, eris.Wrap(spoke.ErrNotRun, "no connection")
	case "not-run":
		return spoke.PlainAnswer{Status: 503, Header: http.Header{"X-Not-Run": {"true"}, "Retry-After": {"3"}}}, nil
	}
	u.runs[dispatch.Call.Key]++
	u.byRequest[dispatch.Call.Request]++
	switch behaviour {
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

func (c *fakeClaims) Claim(_ context.Context, request spoke.ClaimRequest) (bool, spoke.ClaimRecord, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	behaviour := nextBehaviour(&c.behaviours)
	if behaviour == "outage" {
		return false, spoke.ClaimRecord{}, errLost
	}
	if record, ok := c.records[request.ID]; ok {
		return false, record, nil
	}
	c.records[request.ID] = spoke.ClaimRecord{ClaimRequest: request, State: spoke.ClaimHeld}
	if behaviour == "lost" {
		return false, spoke.ClaimRecord{}, errLost
	}
	return true, spoke.ClaimRecord{}, nil
}

func (c *fakeClaims) Finish(_ context.Context, request spoke.ClaimRequest, answer spoke.PlainAnswer) error {
	return c.update(request, func() {
		c.records[request.ID] = spoke.ClaimRecord{ClaimRequest: request, State: spoke.ClaimDone, Answer: &answer}
	})
}

func (c *fakeClaims) Release(_ context.Context, request spoke.ClaimRequest) error {
	return c.update(request, func() { delete(c.records, request.ID) })
}

func (c *fakeClaims) update(request spoke.ClaimRequest, write func()) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	behaviour := nextBehaviour(&c.behaviours)
	if behaviour == "outage" {
		return errLost
	}
	if c.records[request.ID].Attempt == request.Attempt {
		write()
	}
	if behaviour == "lost" {
		return errLost
	}
	return nil
}

func (s staticRouting) Current() *spoke.Manifest { return s.manifest }

func (staticRouting) Views(spoke.ServiceName) []spoke.UpstreamView { return nil }

// Choose returns all upstreams that are not excluded, in a fixed order.
func (staticRouting) Choose(_ time.Time, query spoke.RouteQuery, _ []spoke.UpstreamView) []spoke.UpstreamID {
	all := []spoke.UpstreamID{"order-1", "order-2", "order-3", "order-4"}
	return slices.DeleteFunc(all, func(id spoke.UpstreamID) bool { return query.Exclude[id] })
}

func newExecutor(dispatcher spoke.Dispatcher, table *fakeClaims, opts ...plain.Option) *plain.Executor {
	var none *spoke.Manifest
	routing := staticRouting{none.Apply(spoke.Ticket{Number: 1, Objects: []spoke.Object{
		spoke.Service{
			Name: "orders", Kind: spoke.ServicePlain,
			NonRepeatable: []spoke.CallPattern{{Method: "POST", PathPrefix: "/bookings"}},
		},
		spoke.Rank{Name: "normal"},
	}})}
	discardLog := &logrus.Logger{Out: io.Discard}
	deps := plain.Dependencies{Manifests: routing, Views: routing, Router: routing, Dispatcher: dispatcher, Claims: table, Timer: timer.NewSystem()}
	return plain.NewExecutor(deps, append([]plain.Option{plain.WithLog(discardLog), plain.WithHost("host-1")}, opts...)...)
}

func newFakeUpstreams(behaviours ...string) *fakeUpstreams {
	return &fakeUpstreams{behaviours: behaviours, runs: make(map[spoke.IdempotencyKey]int), byRequest: make(map[spoke.RequestID]int)}
}

func newFakeClaims(behaviours ...string) *fakeClaims {
	return &fakeClaims{behaviours: behaviours, records: make(map[spoke.ClaimID]spoke.ClaimRecord)}
}

func booking(id spoke.RequestID, key spoke.IdempotencyKey, body string) spoke.ServiceCall {
	return spoke.ServiceCall{
		ID: id, Workspace: "sialkot", Service: "orders", Rank: "normal",
		Method: "POST", Path: "/bookings/7", Body: []byte(body), Key: key,
	}
}
