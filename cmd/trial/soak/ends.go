package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// concurrentEnds bounds the engines to which faults apply at a time.
	concurrentEnds = 2
	minEndPause    = 300 * time.Millisecond
	endPauseJitter = 1500 * time.Millisecond
	minStopPause   = 500 * time.Millisecond
	maxRestarts    = 20
	silence        = time.Second
	// leaveNotice is the time from the entry of an engine that leaves to its regular end.
	leaveNotice = 2500 * time.Millisecond
	// expiry is the time from the end of an engine to the removal of its entry.
	expiry = time.Second
)

// engineFaults are the faults of engines, as often as they come in a round; each returns the engine that runs after it.
var engineFaults = []func(b *processBed, random *rand.Rand, e *boot) (*boot, error){
	(*processBed).killAtOnce, (*processBed).killForLong, (*processBed).killLeaving, (*processBed).exitLeaving, (*processBed).killAtOnce,
	(*processBed).silence, (*processBed).killLeaving, (*processBed).loadWeights,
}

// endEngines applies faults to engines until ctx ends.
func (b *processBed) endEngines(ctx context.Context, random *rand.Rand) error {
	var group sync.WaitGroup
	defer group.Wait()
	failed := make(chan error, concurrentEnds)
	slots := make(chan struct{}, concurrentEnds)
	order := random.Perm(len(engineFaults))
	for count := 0; ctx.Err() == nil && len(failed) == 0; count++ {
		apply := engineFaults[order[count%len(order)]]
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		pause := minEndPause + upTo(random, endPauseJitter)
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			next, err := apply(b, faultRandom, <-b.idle)
			if err != nil {
				failed <- err
				return
			}
			b.idle <- next
		})
		sleep(ctx, pause)
	}
	group.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

func upTo(random *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(most)))
}

// killAtOnce kills an engine whose next boot, mostly with another id, already waits for its address.
func (b *processBed) killAtOnce(random *rand.Rand, e *boot) (*boot, error) {
	next, err := b.startEngine(nextID(random, e), e.Address)
	if err != nil {
		return nil, err
	}
	b.kill(e, "killed-back-at-once")
	b.replace(e, next)
	return next, nil
}

func nextID(random *rand.Rand, e *boot) string {
	if random.IntN(4) == 0 {
		return e.ID
	}
	return ""
}

// replace writes the entry of an engine and removes that of the one before it some time later.
func (b *processBed) replace(e, next *boot) {
	b.store.PutProcess(&next.Process, service, false)
	if e.ID == next.ID {
		return
	}
	sleep(context.Background(), expiry)
	b.store.RemoveProcess(&e.Process)
}

func (b *processBed) killForLong(random *rand.Rand, e *boot) (*boot, error) {
	b.kill(e, "killed-back-later")
	sleep(context.Background(), 300*time.Millisecond+upTo(random, 1200*time.Millisecond))
	next, err := b.startEngine(nextID(random, e), e.Address)
	if err == nil {
		b.replace(e, next)
	}
	return next, err
}

// killLeaving kills an engine before it has left; its address is used again at once or not at all.
func (b *processBed) killLeaving(random *rand.Rand, e *boot) (*boot, error) {
	address := []string{"", e.Address}[random.IntN(2)]
	next, err := b.startEngine("", address)
	if err != nil {
		return nil, err
	}
	b.store.PutProcess(&e.Process, service, true)
	sleep(context.Background(), 200*time.Millisecond+upTo(random, leaveNotice-200*time.Millisecond))
	b.kill(e, "killed-leaving")
	b.replace(e, next)
	return next, nil
}

// exitLeaving lets an engine finish its runs and exit.
func (b *processBed) exitLeaving(_ *rand.Rand, e *boot) (*boot, error) {
	b.store.PutProcess(&e.Process, service, true)
	sleep(context.Background(), leaveNotice)
	b.setEnd(e, exited)
	if _, err := e.process.Stop(context.Background()); err != nil {
		return nil, err
	}
	b.store.RemoveProcess(&e.Process)
	next, err := b.startEngine("", "")
	if err == nil {
		b.store.PutProcess(&next.Process, service, false)
	}
	return next, err
}

func (b *processBed) silence(_ *rand.Rand, e *boot) (*boot, error) {
	b.logf("silence of %s", e.process.Name())
	if err := e.process.Freeze(); err != nil {
		return nil, err
	}
	sleep(context.Background(), silence)
	return e, e.process.Thaw()
}

func (b *processBed) loadWeights(_ *rand.Rand, e *boot) (*boot, error) {
	b.logf("load of weights")
	b.putWeights()
	return e, nil
}

// stopHosts stops hosts and starts them again, one at a time, until ctx ends.
func (b *processBed) stopHosts(ctx context.Context, random *rand.Rand) error {
	for ctx.Err() == nil {
		h := b.hosts[random.IntN(len(b.hosts))]
		sleep(ctx, minStopPause+upTo(random, minStopPause))
		if err := b.stopHost(h); err != nil {
			return err
		}
		b.awaitReady()
	}
	return nil
}

// stopHost stops a host and starts it again.
func (b *processBed) stopHost(h *host) error {
	process, err := b.fleet.Process(h.name)
	if err != nil {
		return err
	}
	b.logf("stop of %s", h.name)
	b.mu.Lock()
	b.stops = append(b.stops, stop{h, time.Now()})
	b.mu.Unlock()
	grace, cancel := context.WithTimeout(context.Background(), stopGraceSeconds*time.Second)
	defer cancel()
	if _, err := process.Stop(grace); err != nil {
		b.logf("%s killed after the grace period", h.name)
		process.Kill()
		b.addHostFault(h, hostKilled)
	}
	return b.restartHost(h)
}

// restartHost starts a host again. Another program on the machine may hold one of its ports for a while.
func (b *processBed) restartHost(h *host) error {
	var err error
	for range maxRestarts {
		sleep(context.Background(), restartDelay)
		if _, err = b.fleet.Restart(context.Background(), h.name); err == nil {
			return nil
		}
		b.logf("%s not started: %.80s", h.name, err)
	}
	return err
}
