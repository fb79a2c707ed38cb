package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	// recoveryTime bounds the wait for ready hosts, at the start and after the last fault, and is
	// also the pause between that wait and the probes.
	recoveryTime    = 8 * time.Second
	probeCount      = 40
	minProbesServed = 36
)

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Violations lists the violated guarantees, each with the call, engine or hosts concerned.
	Violations []string
	// Statuses counts the calls by route and status; calls that got no answer have status 0.
	Statuses map[string]int
	// FaultLog lists the faults in the order in which they began.
	FaultLog []string
	// LogDirectory is the directory that holds the logs of the hosts.
	LogDirectory string
}

// Option changes a run.
type Option func(*options)

type options struct {
	limit      spoke.RequestRate
	hasCrashes bool
	hasReturns bool
	// hasVersions is set if engines have two software versions.
	hasVersions bool
	hasWays     bool
	// hasEvacuations is set if data centres are evacuated in turn.
	hasEvacuations bool
	// hasCrowds is set if callers that do not respect limits come beside the other faults.
	hasCrowds bool
	// hasCold is set if engines are cold behind a start.
	hasCold bool
}

// WithLimit makes every second engine name a limit in its answers, which hosts must keep together.
func WithLimit(limit spoke.RequestRate) Option { return func(o *options) { o.limit = limit } }

// WithCrashingPart makes engines crash on a prompt part, whose requests hosts must stop sending together.
func WithCrashingPart() Option { return func(o *options) { o.hasCrashes = true } }

// WithReturns makes the store return from older copies beside the other faults.
func WithReturns() Option { return func(o *options) { o.hasReturns = true } }

// WithSoftwareVersions gives engines two software versions in turn, which no stream may mix; callers break streams
// off and take them up at other hosts.
func WithSoftwareVersions() Option { return func(o *options) { o.hasVersions = true } }

// WithEngineWays gives each host its own ways to engines, which are cut beside the other faults. Hosts run the own program,
// which has to call ServeHost.
func WithEngineWays() Option { return func(o *options) { o.hasWays = true } }

// WithEvacuations divides the engines between two data centres, which are evacuated in turn beside the other faults.
func WithEvacuations() Option { return func(o *options) { o.hasEvacuations = true } }

// WithCrowds lets callers that do not respect limits come to hosts beside the other faults.
func WithCrowds() Option { return func(o *options) { o.hasCrowds = true } }

// WithColdEngines makes engines cold after a start and after outages, which are injected beside the other faults. Hosts must
// keep the bound of cold engines together.
func WithColdEngines() Option { return func(o *options) { o.hasCold = true } }

// Run injects the faults of one seed for the duration into hosts that run program, and checks the
// guarantees. It writes logs into a new subdirectory of directory.
func Run(program, directory string, seed uint64, duration time.Duration, changes ...Option) (Report, error) {
	var set options
	for _, change := range changes {
		change(&set)
	}
	report := Report{Seed: seed, Statuses: make(map[string]int), LogDirectory: filepath.Join(directory, fmt.Sprintf("seed-%d", seed))}
	if err := os.MkdirAll(report.LogDirectory, 0o700); err != nil {
		return report, err
	}
	b, err := newTestbed(program, report.LogDirectory, set)
	defer b.close()
	if err != nil {
		return report, err
	}
	if !b.awaitReady() {
		return report, fmt.Errorf("hosts are not ready, logs in %s", report.LogDirectory)
	}
	c := &callers{testbed: b}
	var faulty *host
	report.FaultLog, faulty = runFaults(b, c, seed, duration, set)
	c.checkRecovery()
	c.checkRuns()
	c.checkLimits(faulty)
	if set.hasCrashes {
		c.checkCrashes(faulty)
	}
	if set.hasCold {
		c.checkCold(&report)
	}
	if set.hasVersions {
		c.checkSoftware()
	}
	c.checkWays(faulty)
	c.checkEvacuations()
	report.FaultLog = append(report.FaultLog, b.wayResults...)
	report.Violations = c.violations
	for _, result := range c.outcomes {
		report.Statuses[fmt.Sprintf("%s %d", result.route, result.status)]++
	}
	return report, nil
}

// runFaults sends calls and injects faults for the duration, and returns the log of the faults and the host
// that process faults applied to.
func runFaults(b *testbed, c *callers, seed uint64, duration time.Duration, set options) ([]string, *host) {
	var mu sync.Mutex
	var faultLog []string
	started := time.Now()
	inj := &injector{testbed: b, target: make(chan *host, 1), logf: func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		faultLog = append(faultLog, fmt.Sprintf("%.2f s: ", time.Since(started).Seconds())+fmt.Sprintf(format, args...))
	}}
	random := rand.New(rand.NewPCG(seed, 0))
	faulty := b.hosts[random.IntN(len(b.hosts))]
	inj.target <- faulty
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	callCtx, stopCalls := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { c.run(callCtx, seed) })
	var returns sync.WaitGroup
	if set.hasWays {
		group.Go(func() { c.runSteady(callCtx) })
		returns.Go(func() { inj.cutWays(ctx, rand.New(rand.NewPCG(seed, 2)), faulty) })
	}
	if set.hasCold {
		returns.Go(func() { inj.coolEngines(ctx, rand.New(rand.NewPCG(seed, 3))) })
	}
	if set.hasReturns {
		returns.Go(func() { inj.returnStore(ctx, rand.New(rand.NewPCG(seed, 1))) })
	}
	if set.hasEvacuations {
		returns.Go(func() { inj.evacuate(ctx, rand.New(rand.NewPCG(seed, 3))) })
	}
	if set.hasCrowds {
		returns.Go(func() { inj.sendCrowds(ctx, rand.New(rand.NewPCG(seed, 3))) })
	}
	inj.run(ctx, random)
	returns.Wait()
	stopCalls()
	group.Wait()
	return faultLog, faulty
}

func (b *testbed) awaitReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTime)
	defer cancel()
	for ctx.Err() == nil {
		ready := 0
		for _, h := range b.hosts {
			response, err := http.Get("http://" + h.readyAddress + "/readyz")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(b.hosts) {
			return true
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return false
}

// checkRecovery checks that hosts serve again after the last fault and that engines have loaded
// the newest weights.
func (c *callers) checkRecovery() {
	if !c.testbed.awaitReady() {
		c.violationf("hosts are not ready %s after the last fault", recoveryTime)
	}
	sleep(context.Background(), recoveryTime)
	client := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	served := 0
	for number := range probeCount {
		h := c.testbed.hosts[number%len(c.testbed.hosts)]
		if result := c.call(client, h, []string{chat, look}[number%2], fmt.Sprintf("p-%d", number)); result.status == http.StatusOK && !result.isCut {
			served++
		}
	}
	if served < minProbesServed {
		c.violationf("%d of %d calls are served after the last fault", served, probeCount)
	}
	for _, e := range c.testbed.engines {
		if version, _ := e.Version(); version != c.testbed.weights {
			c.violationf("engine %s has weights %d, want %d", e.ID, version, c.testbed.weights)
		}
	}
}

// checkRuns compares the requests that engines ran with the statuses that callers received.
func (c *callers) checkRuns() {
	runs := make(map[string]int)
	for _, e := range append(slices.Clone(c.testbed.engines), c.testbed.retired...) {
		for _, run := range e.Runs() {
			runs[run.ID]++
			c.checkRun(e, run)
		}
	}
	for _, result := range c.outcomes {
		claimsNotRun := result.status == http.StatusServiceUnavailable || result.status == http.StatusTooManyRequests
		switch count := runs[result.id]; {
		case claimsNotRun && count > 0 && (result.route == book || result.route == quote):
			c.violationf("%s: status %d states that the request was not run, but an engine ran it", result.id, result.status)
		case count > 1 && (result.route == book || result.route == quote):
			c.violationf("%s: engines ran the request %d times", result.id, count)
		}
	}
}

func (c *callers) checkRun(e *engine, run fake.Run) {
	switch {
	case run.Body != bodyOf(run.ID):
		c.violationf("%s: engine %s got the wrong request body", run.ID, e.ID)
	case run.Workspace() != workspace || run.HasKey():
		c.violationf("%s: engine %s got the wrong workspace or the caller's key", run.ID, e.ID)
	case run.MixesWeights():
		c.violationf("%s: engine %s was told to use cached parts of other weights", run.ID, e.ID)
	}
}
