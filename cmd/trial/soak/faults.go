package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	fake "magnoliaspoke.example/spoke/fake/platform"
	"magnoliaspoke.example/spoke/relay"
)

const (
	// mostFaults bounds the faults that overlap.
	mostFaults  = 5
	shortest    = 300 * time.Millisecond
	longest     = 2500 * time.Millisecond
	faultPause  = 80 * time.Millisecond
	restartTime = 300 * time.Millisecond
	slowLink    = 150 * time.Millisecond
)

var (
	behaviours = []fake.Behaviour{
		fake.Shed, fake.Fail, fake.Busy, fake.ResetAtOnce, fake.ResetMidway, fake.Hang, fake.OtherFirst, fake.Unproved,
	}

	kinds = []fault{
		{"host-kill", func(ctx context.Context, f *faults, _ *rand.Rand, _ time.Duration) {
			f.withHost(func(h *host) { f.restart(ctx, h, func() { f.process(h, syscall.SIGKILL) }) })
		}},
		{"host-stop", func(ctx context.Context, f *faults, _ *rand.Rand, _ time.Duration) {
			f.withHost(func(h *host) { f.restart(ctx, h, func() { f.process(h, syscall.SIGTERM) }) })
		}},
		{"host-reload", func(_ context.Context, f *faults, _ *rand.Rand, _ time.Duration) {
			f.withHost(func(h *host) { f.process(h, syscall.SIGHUP) })
		}},
		{"host-freeze", func(ctx context.Context, f *faults, _ *rand.Rand, lasting time.Duration) {
			f.withHost(func(h *host) {
				f.process(h, syscall.SIGSTOP)
				sleep(ctx, lasting)
				f.process(h, syscall.SIGCONT)
			})
		}},
		{"store-refuses", func(ctx context.Context, f *faults, _ *rand.Rand, lasting time.Duration) {
			f.world.store.Refuse(true)
			sleep(ctx, lasting)
			f.world.store.Refuse(false)
		}},
		{"store-loses-answers", func(ctx context.Context, f *faults, _ *rand.Rand, lasting time.Duration) {
			f.world.store.LoseAnswers(true)
			sleep(ctx, lasting)
			f.world.store.LoseAnswers(false)
		}},
		{"store-forgets", func(_ context.Context, f *faults, _ *rand.Rand, _ time.Duration) { f.world.store.Compact() }},
		{"store-link", func(ctx context.Context, f *faults, random *rand.Rand, lasting time.Duration) {
			harm(ctx, f.world.hosts[random.IntN(len(f.world.hosts))].store, random, lasting)
		}},
		{"engine-link", func(ctx context.Context, f *faults, random *rand.Rand, lasting time.Duration) {
			harm(ctx, f.engine(random).relay, random, lasting)
		}},
		{"engine-behaviour", func(ctx context.Context, f *faults, random *rand.Rand, lasting time.Duration) {
			e, behaviour := f.engine(random), behaviours[random.IntN(len(behaviours))]
			f.note("%s: %s", e.ID, behaviour)
			e.SetBehaviour(behaviour)
			sleep(ctx, lasting)
			e.SetBehaviour(fake.Serve)
		}},
		{"engine-replaced", func(ctx context.Context, f *faults, random *rand.Rand, _ time.Duration) {
			if err := f.world.addEngine(); err != nil {
				f.note("engine not added: %s", err)
				return
			}
			f.world.retire(ctx, f.engine(random))
		}},
		{"configuration", func(_ context.Context, f *faults, _ *rand.Rand, _ time.Duration) { f.world.configure() }},
		{"weights", func(_ context.Context, f *faults, _ *rand.Rand, _ time.Duration) { f.world.nameWeights() }},
	}
)

type (
	// fault is one kind of trouble; it has ended when the function returns.
	fault struct {
		name   string
		inject func(ctx context.Context, f *faults, random *rand.Rand, lasting time.Duration)
	}

	// faults injects random faults.
	faults struct {
		world *world
		// hosts holds hosts that a fault has hit, since only one may be down or frozen at a time.
		hosts chan *host
		note  func(format string, args ...any)
	}
)

// run injects overlapping faults until ctx ends, then waits for those under way.
func (f *faults) run(ctx context.Context, random *rand.Rand) {
	var group sync.WaitGroup
	slots := make(chan struct{}, mostFaults)
	for ctx.Err() == nil {
		kind := kinds[random.IntN(len(kinds))]
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		lasting := shortest + time.Duration(random.Int64N(int64(longest-shortest)))
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			f.note("%s for %s", kind.name, lasting)
			kind.inject(ctx, f, own, lasting)
		})
		sleep(ctx, faultPause+time.Duration(random.Int64N(int64(2*faultPause))))
	}
	group.Wait()
}

// harm cuts, delays or resets the connections through a relay.
func harm(ctx context.Context, link *relay.Relay, random *rand.Rand, lasting time.Duration) {
	switch random.IntN(3) {
	case 0:
		link.Cut()
		sleep(ctx, lasting)
		link.Restore()
	case 1:
		direction := relay.Direction(random.IntN(2))
		link.Delay(direction, slowLink)
		sleep(ctx, lasting)
		link.Delay(direction, 0)
	default:
		link.Reset()
	}
}

// withHost hits a host that no other fault has hit; there is nothing to do if none is free.
func (f *faults) withHost(hit func(*host)) {
	select {
	case h := <-f.hosts:
		hit(h)
		f.hosts <- h
	default:
	}
}

func (f *faults) process(h *host, signal syscall.Signal) {
	process, err := f.world.fleet.Process(h.name)
	if err != nil {
		f.note("%s: %s", h.name, err)
		return
	}
	if err := syscall.Kill(process.ID(), signal); err != nil {
		f.note("%s: signal %s: %s", h.name, signal, err)
	}
}

// restart ends a host and starts it again.
func (f *faults) restart(ctx context.Context, h *host, end func()) {
	process, err := f.world.fleet.Process(h.name)
	if err != nil {
		f.note("%s: %s", h.name, err)
		return
	}
	end()
	<-process.Exited()
	sleep(ctx, restartTime)
	if _, err := f.world.fleet.Restart(context.Background(), h.name); err != nil {
		f.note("%s not started again: %s", h.name, err)
	}
}

func (f *faults) engine(random *rand.Rand) *engine {
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	return f.world.engines[random.IntN(len(f.world.engines))]
}

// nameWeights names new weights; engines that start later have them.
func (w *world) nameWeights() {
	w.mu.Lock()
	w.weights++
	weights := w.weights
	w.mu.Unlock()
	w.store.PutTargetVersion(weights)
}
