package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	fake "magnoliaspoke.example/spoke/fake/platform"
	"magnoliaspoke.example/spoke/relay"
)

const (
	maxConcurrentFaults = 5
	minFaultTime        = 300 * time.Millisecond
	maxFaultTime        = 2500 * time.Millisecond
	minFaultPause       = 80 * time.Millisecond
	restartDelay        = 300 * time.Millisecond
	linkDelay           = 150 * time.Millisecond
)

var (
	behaviours = []fake.Behaviour{
		fake.Shed, fake.Fail, fake.Busy, fake.ResetAtOnce, fake.ResetMidway, fake.Hang, fake.OtherFirst, fake.Unproved,
	}

	faultKinds = []fault{
		{"host-kill", func(ctx context.Context, inj *injector, _ *rand.Rand, _ time.Duration) {
			inj.withHost(func(h *host) { inj.restart(ctx, h, func() { inj.sendSignal(h, syscall.SIGKILL) }) })
		}},
		{"host-stop", func(ctx context.Context, inj *injector, _ *rand.Rand, _ time.Duration) {
			inj.withHost(func(h *host) { inj.restart(ctx, h, func() { inj.sendSignal(h, syscall.SIGTERM) }) })
		}},
		{"host-reload", func(_ context.Context, inj *injector, _ *rand.Rand, _ time.Duration) {
			inj.withHost(func(h *host) { inj.sendSignal(h, syscall.SIGHUP) })
		}},
		{"host-freeze", func(ctx context.Context, inj *injector, _ *rand.Rand, duration time.Duration) {
			inj.withHost(func(h *host) {
				inj.sendSignal(h, syscall.SIGSTOP)
				sleep(ctx, duration)
				inj.sendSignal(h, syscall.SIGCONT)
			})
		}},
		{"store-refuses", func(ctx context.Context, inj *injector, _ *rand.Rand, duration time.Duration) {
			inj.testbed.store.Refuse(true)
			sleep(ctx, duration)
			inj.testbed.store.Refuse(false)
		}},
		{"store-loses-answers", func(ctx context.Context, inj *injector, _ *rand.Rand, duration time.Duration) {
			inj.testbed.store.LoseAnswers(true)
			sleep(ctx, duration)
			inj.testbed.store.LoseAnswers(false)
		}},
		{"store-forgets", func(_ context.Context, inj *injector, _ *rand.Rand, _ time.Duration) { inj.testbed.store.Compact() }},
		{"store-link", func(ctx context.Context, inj *injector, random *rand.Rand, duration time.Duration) {
			disruptLink(ctx, inj.testbed.hosts[random.IntN(len(inj.testbed.hosts))].storeRelay, random, duration)
		}},
		{"engine-link", func(ctx context.Context, inj *injector, random *rand.Rand, duration time.Duration) {
			disruptLink(ctx, inj.randomEngine(random).relay, random, duration)
		}},
		{"engine-behaviour", func(ctx context.Context, inj *injector, random *rand.Rand, duration time.Duration) {
			e, behaviour := inj.randomEngine(random), behaviours[random.IntN(len(behaviours))]
			inj.logf("%s: %s", e.ID, behaviour)
			e.SetBehaviour(behaviour)
			sleep(ctx, duration)
			e.SetBehaviour(fake.Serve)
		}},
		{"engine-replaced", func(ctx context.Context, inj *injector, random *rand.Rand, _ time.Duration) {
			if err := inj.testbed.addEngine(); err != nil {
				inj.logf("engine not added: %s", err)
				return
			}
			inj.testbed.retire(ctx, inj.randomEngine(random))
		}},
		{"configuration", func(_ context.Context, inj *injector, _ *rand.Rand, _ time.Duration) { inj.testbed.putConfig() }},
		{"weights", func(_ context.Context, inj *injector, _ *rand.Rand, _ time.Duration) { inj.testbed.putWeights() }},
	}
)

type (
	// fault describes a kind of fault; inject causes one and returns when it has ended.
	fault struct {
		name   string
		inject func(ctx context.Context, inj *injector, random *rand.Rand, duration time.Duration)
	}

	// injector injects random faults into a testbed.
	injector struct {
		testbed *testbed
		// target holds the host that process faults apply to and is empty during such a fault,
		// since only one host may be down or frozen at a time.
		target chan *host
		logf   func(format string, args ...any)
	}
)

// run injects overlapping faults until ctx ends, then waits for those in progress.
func (inj *injector) run(ctx context.Context, random *rand.Rand) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentFaults)
	for ctx.Err() == nil {
		kind := faultKinds[random.IntN(len(faultKinds))]
		if inj.testbed.hasCold && strings.HasPrefix(kind.name, "store-") {
			// Nothing tells hosts of an engine that restarts while the store is away, if none calls it meanwhile.
			sleep(ctx, minFaultPause)
			continue
		}
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		duration := minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime)))
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			inj.logf("%s for %s", kind.name, duration)
			kind.inject(ctx, inj, faultRandom, duration)
		})
		sleep(ctx, minFaultPause+time.Duration(random.Int64N(int64(2*minFaultPause))))
	}
	group.Wait()
}

// disruptLink cuts, delays or resets the connections through a relay.
func disruptLink(ctx context.Context, link *relay.Relay, random *rand.Rand, duration time.Duration) {
	switch random.IntN(3) {
	case 0:
		link.Cut()
		sleep(ctx, duration)
		link.Restore()
	case 1:
		direction := relay.Direction(random.IntN(2))
		link.Delay(direction, linkDelay)
		sleep(ctx, duration)
		link.Delay(direction, 0)
	default:
		link.Reset()
	}
}

// withHost applies a fault to the target host, or does nothing during another fault of this host.
func (inj *injector) withHost(apply func(*host)) {
	select {
	case h := <-inj.target:
		apply(h)
		inj.target <- h
	default:
	}
}

func (inj *injector) sendSignal(h *host, signal syscall.Signal) {
	process, err := inj.testbed.fleet.Process(h.name)
	if err != nil {
		inj.logf("%s: %s", h.name, err)
		return
	}
	if err := syscall.Kill(process.ID(), signal); err != nil {
		inj.logf("%s: signal %s: %s", h.name, signal, err)
	}
}

// restart ends a host by calling end, waits for its exit and starts it again.
func (inj *injector) restart(ctx context.Context, h *host, end func()) {
	process, err := inj.testbed.fleet.Process(h.name)
	if err != nil {
		inj.logf("%s: %s", h.name, err)
		return
	}
	end()
	<-process.Exited()
	sleep(ctx, restartDelay)
	if _, err := inj.testbed.fleet.Restart(context.Background(), h.name); err != nil {
		inj.logf("%s not restarted: %s", h.name, err)
	}
}

func (inj *injector) randomEngine(random *rand.Rand) *engine {
	inj.testbed.mu.Lock()
	defer inj.testbed.mu.Unlock()
	return inj.testbed.engines[random.IntN(len(inj.testbed.engines))]
}

// putWeights writes the next version of the weights to the store; engines that are added
// later start with it.
func (b *testbed) putWeights() {
	b.mu.Lock()
	b.weights++
	weights := b.weights
	b.mu.Unlock()
	b.store.PutTargetVersion(weights)
}
