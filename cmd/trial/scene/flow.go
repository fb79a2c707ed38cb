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
	// flowPrompts is the number of distinct prompts, which repeat so that engines cache their prefixes.
	flowPrompts = 32
	// drainDelay is the drain delay of the hosts of all scenarios.
	drainDelay = time.Second
	// readinessLag is how long a flow continues to send to a host that reports that it is not ready,
	// as a load balancer does; it is shorter than the drain delay.
	readinessLag = drainDelay / 2
)

// flowVersions are the model versions whose answers a flow accepts, so that it can continue while a
// ticket changes the version.
var flowVersions = []spoke.ModelVersion{plans.FirstVersion, "v2", "v3"}

type (
	// flow is a steady load of language requests or bookings on some hosts.
	flow struct {
		scenario *scenario
		name     string
		stop     chan struct{}
		workers  sync.WaitGroup
		next     atomic.Uint64
		served   atomic.Int64

		mu       sync.Mutex
		failures []error
	}

	// sendFunc sends one request of a flow to a host.
	sendFunc func(caller *load.Caller, host string, number uint64) error
)

// flow starts a steady load, which lasts until halt.
func (s *scenario) flow(ts *testscript.TestScript, _ bool, args []string) {
	const usage = "flow NAME asks|bookings|both HOST..."
	checkArgs(ts, args, 3, math.MaxInt, usage)
	s.requireSetup(ts)
	current := &flow{scenario: s, name: args[0], stop: make(chan struct{})}
	s.flows[args[0]] = current
	senders, ok := map[string][]sendFunc{
		"asks": {current.ask}, "bookings": {current.book}, "both": {current.ask, current.book},
	}[args[1]]
	if !ok {
		ts.Fatalf("usage: %s", usage)
	}
	for _, host := range args[2:] {
		address, err := s.address(host, ready.Caller)
		ts.Check(err)
		for _, send := range senders {
			for range flowCallers {
				current.start(host, address, send)
			}
		}
	}
}

// halt ends a flow and fails if one of its requests was not served or too few were served.
func (s *scenario) halt(ts *testscript.TestScript, _ bool, args []string) {
	checkArgs(ts, args, 2, 2, "halt NAME LEAST-SERVED")
	current, ok := s.flows[args[0]]
	if !ok {
		ts.Fatalf("no flow %q", args[0])
	}
	minimum, err := strconv.Atoi(args[1])
	ts.Check(eris.Wrap(err, "least served"))
	close(current.stop)
	current.workers.Wait()
	ts.Check(errors.Join(current.failures...))
	served := int(current.served.Load())
	ts.Logf("measured: flow %s had %d requests served, none failed", args[0], served)
	if served < minimum {
		ts.Fatalf("flow %s had %d requests served, want at least %d", args[0], served, minimum)
	}
}

// expectServed holds when at least the given number of requests of a flow has been served.
func (s *scenario) expectServed(args []string) (condition, error) {
	current, ok := s.flows[args[0]]
	if !ok {
		return nil, eris.Errorf("no flow %q", args[0])
	}
	minimum, err := strconv.Atoi(args[1])
	return func() (bool, bool, string) {
		served := int(current.served.Load())
		return served >= minimum, false, fmt.Sprintf("%d requests of flow %s were served", served, args[0])
	}, eris.Wrap(err, "served")
}

func (f *flow) start(host string, address spoke.Address, send sendFunc) {
	f.workers.Go(func() {
		caller := load.NewCaller(address)
		var notReadySince time.Time
		for f.isRunning() {
			if f.isReady(address) {
				notReadySince = time.Time{}
			} else if notReadySince.IsZero() {
				notReadySince = time.Now()
			}
			if !notReadySince.IsZero() && time.Since(notReadySince) > readinessLag {
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

func (f *flow) isRunning() bool {
	select {
	case <-f.stop:
		return false
	case <-f.scenario.ctx.Done():
		return false
	default:
		return true
	}
}

// isReady probes the readiness endpoint of a host, as a load balancer does.
func (f *flow) isReady(address spoke.Address) bool {
	ctx, cancel := context.WithTimeout(f.scenario.ctx, time.Second)
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
	answer := caller.Send(f.scenario.ctx, load.Request{
		Key: plans.Key(plans.WorkspaceID(0)), Model: plans.Model, Rank: plans.RankUrgent,
		Prompt: load.Prompt(number%flowPrompts, defaultPrompt), MaxTokens: flowTokens,
		Versions: flowVersions,
	})
	if answer.IsServed() {
		return nil
	}
	return eris.Errorf("request %s at %s: status %d, %s", answer.RequestID, host, answer.Status, describeCheck(answer))
}

func (f *flow) book(caller *load.Caller, host string, number uint64) error {
	reply := caller.Call(f.scenario.ctx, load.Call{
		Key: plans.Key(plans.WorkspaceID(0)), Service: plans.Booking, Method: http.MethodPost, Path: "/bookings",
		Body: "feather dusters", IdempotencyKey: spoke.IdempotencyKey(fmt.Sprintf("%s-%d", f.name, number)),
	})
	if reply.Err == nil && reply.Status == http.StatusOK {
		return nil
	}
	return eris.Errorf("booking %s at %s: status %d, %v, %s", reply.RequestID, host, reply.Status, reply.Err, reply.Body)
}
