package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	hostKilled      = "host-killed"
	hostKilledAlone = "host-killed-alone"
	hostFrozen      = "host-frozen"

	// aloneTime is the time for which a host that is killed alone stays away, so that its streams are taken up elsewhere.
	aloneTime = 700 * time.Millisecond
	minFreeze = 200 * time.Millisecond
	maxFreeze = 1500 * time.Millisecond
)

// hostFaultOrder holds the faults of hosts in a round.
var hostFaultOrder = []func(b *processBed, random *rand.Rand, h *host) error{
	(*processBed).killHost, (*processBed).freezeHost, (*processBed).killHost, (*processBed).killHosts, (*processBed).killHost,
	func(b *processBed, _ *rand.Rand, h *host) error { return b.stopHost(h) },
}

// disturbHosts kills, freezes and stops hosts until ctx ends.
func (b *processBed) disturbHosts(ctx context.Context, random *rand.Rand) error {
	for count := 0; ctx.Err() == nil; count++ {
		h := b.hosts[random.IntN(len(b.hosts))]
		sleep(ctx, minStopPause+upTo(random, minStopPause))
		if err := hostFaultOrder[count%len(hostFaultOrder)](b, random, h); err != nil {
			return err
		}
		b.awaitReady()
	}
	return nil
}

func (b *processBed) addHostFault(h *host, kind string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hostFaults = append(b.hostFaults, hostFault{h, kind, time.Now()})
	b.logf("%s %s", kind, h.name)
}

func (b *processBed) killHost(random *rand.Rand, h *host) error {
	process, err := b.fleet.Process(h.name)
	if err != nil {
		return err
	}
	b.addHostFault(h, hostKilledAlone)
	process.Kill()
	sleep(context.Background(), aloneTime+upTo(random, aloneTime))
	return b.restartHost(h)
}

// killHosts kills all hosts at once.
func (b *processBed) killHosts(_ *rand.Rand, _ *host) error {
	for _, h := range b.hosts {
		process, err := b.fleet.Process(h.name)
		if err != nil {
			return err
		}
		b.addHostFault(h, hostKilled)
		process.Kill()
	}
	errs := make(chan error, len(b.hosts))
	var group sync.WaitGroup
	for _, h := range b.hosts {
		group.Go(func() { errs <- b.restartHost(h) })
	}
	group.Wait()
	for range b.hosts {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

func (b *processBed) freezeHost(random *rand.Rand, h *host) error {
	process, err := b.fleet.Process(h.name)
	if err != nil {
		return err
	}
	b.addHostFault(h, hostFrozen)
	if err := process.Freeze(); err != nil {
		return err
	}
	sleep(context.Background(), minFreeze+upTo(random, maxFreeze-minFreeze))
	return process.Thaw()
}
