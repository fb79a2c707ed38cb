package scene

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/cmd/trial/load"
	"magnoliaspoke.example/spoke/cmd/trial/plans"
	"magnoliaspoke.example/spoke/ready"
)

const (
	// flowCallers is the number of callers of each kind at each host.
	flowCallers = 2
	flowTokens  = 12
	// flowPrompts is the number of prompts that return, so that each has an engine with its prefix.
	flowPrompts = 32
	// drainDelay is the drain delay of the hosts of all scenarios.
	drainDelay = time.Second
	// balancerDelay is how long the load balancer that a flow stands for goes on sending to a
	// host that says it is not ready; it is shorter than the drain delay.
	balancerDelay = drainDelay / 2
)

// flowVersions lets a flow go on while a ticket changes the version.
var flowVersions = []spoke.ModelVersion{plans.FirstVersion, "v2", "v3"}

type (
	// flow is a steady load of language requests or bookings at some hosts.
	flow struct {
		stage   *stage
		name    string
		stop    chan struct{}
		workers sync.WaitGroup
		next    atomic.Uint64
		served  atomic.Int64

		mu       sync.Mutex
		failures []error
	}

	// sendFunc sends one request of a flow to a host.
	sendFunc func(caller *load.Caller, host string, number uint64) error
)

// flow starts a steady load, which goes on until halt.
func (s *stage) flow(ts *testscript.TestScript, _ bool, args []string) {
	const usage = "flow NAME asks|bookings|both HOST..."
	want(ts, args, 3, math.MaxInt, usage)
	s.needSetup(ts)
	current := &flow{stage: s, name: args[0], stop: make(chan struct{})}
	s.flows[args[0]] = current
	sends, ok := map[string][]sendFunc{
		"asks": {current.ask}, "bookings": {current.book}, "both": {current.ask, current.book},
	}[args[1]]
	if !ok {
		ts.Fatalf("usage: %s", usage)
	}
	for _, host := range args[2:] {
		address, err := s.address(host, ready.Caller)
		ts.Check(err)
		for _, send := range sends {
			for range flowCallers {
				current.start(host, address, send)
			}
		}
	}
}

// halt ends a flow and fails if a request of it was not served or too few were sent.
func (s *stage) halt(ts *testscript.TestScript, _ bool, args []string) {
	want(ts, args, 2, 2, "halt NAME LEAST-SERVED")
	current, ok := s.flows[args[0]]
	if !ok {
		ts.Fatalf("no flow %q", args[0])
	}
	least, err := strconv.Atoi(args[1])
	ts.Check(eris.Wrap(err, "least served"))
	close(current.stop)
	current.workers.Wait()
	ts.Check(errors.Join(current.failures...))
	served := int(current.served.Load())
	ts.Logf("measured: flow %s had %d requests served, none failed", args[0], served)
	if served < least {
		ts.Fatalf("flow %s had %d requests served, want at least %d", args[0], served, least)
	}
}

// expectServed holds when a flow has had the number of requests served.
func (s *stage) expectServed(args []string) (condition, error) {
	current, ok := s.flows[args[0]]
	if !ok {
		return nil, eris.Errorf("no flow %q", args[0])
	}
	least, err := strconv.Atoi(args[1])
	return func() (bool, bool, string) {
		served := int(current.served.Load())
		return served >= least, false, fmt.Sprintf("%d requests of flow %s were served", served, args[0])
	}, eris.Wrap(err, "served")
}

func (f *flow) start(host string, address spoke.Address, send sendFunc) {
	f.workers.Go(func() {
		caller := load.NewCaller(address)
		var notReady time.Time
		for f.isOpen() {
			if f.isReady(address) {
				notReady = time.Time{}
			} else if notReady.IsZero() {
				notReady = time.Now()
			}
			if !notReady.IsZero() && time.Since(notReady) > balancerDelay {
				return
			}
			if err := send(caller, host, f.next.Add(1)); err != nil {
				f.mu.Lock()
				f.failures = append(f.failures, err)
				f.mu.Unlock()
				return
			}
			f.served.Add(1)
		}
	})
}

func (f *flow) isOpen() bool {
	select {
	case <-f.stop:
		return false
	case <-f.stage.ctx.Done():
		return false
	default:
		return true
	}
}

// isReady asks as a load balancer does.
func (f *flow) isReady(address spoke.Address) bool {
	ctx, cancel := context.WithTimeout(f.stage.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+"/ready", nil)
	if err != nil {
		return false
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *flow) ask(caller *load.Caller, host string, number uint64) error {
	answer := caller.Send(f.stage.ctx, load.Request{
		Key: plans.Key(plans.WorkspaceID(0)), Model: plans.Model, Rank: plans.RankUrgent,
		Prompt: load.Prompt(number%flowPrompts, defaultPrompt), MaxTokens: flowTokens,
		Versions: flowVersions,
	})
	if answer.IsServed() {
		return nil
	}
	return eris.Errorf("request %s at %s: status %d, %s", answer.RequestID, host, answer.Status, checked(answer))
}

func (f *flow) book(caller *load.Caller, host string, number uint64) error {
	reply := caller.Call(f.stage.ctx, load.Call{
		Key: plans.Key(plans.WorkspaceID(0)), Service: plans.Booking, Method: http.MethodPost, Path: "/bookings",
		Body: "feather dusters", IdempotencyKey: spoke.IdempotencyKey(fmt.Sprintf("%s-%d", f.name, number)),
	})
	if reply.Err == nil && reply.Status == http.StatusOK {
		return nil
	}
	return eris.Errorf("booking %s at %s: status %d, %v, %s", reply.RequestID, host, reply.Status, reply.Err, reply.Body)
}
