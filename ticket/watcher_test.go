package ticket_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fake/kvsvc"
	"magnoliaspoke.example/spoke/ticket"
)

// TestWatcherFollowsManifest guards against a watcher that misses a ticket after an outage or a
// stale read, reads again what it already has, or calls the platform while it is inactive.
func TestWatcherFollowsManifest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		service := kvsvc.New()
		acceptor := ticket.NewAcceptor(newClient(service))
		first, err := acceptor.Accept(ctx, baseTicket())
		assert.NilError(t, err)

		view := ticket.NewView()
		watcher := ticket.NewWatcher(newClient(service), view)
		done := make(chan error, 1)
		go func() { done <- watcher.Run(ctx) }()
		synctest.Wait()
		assert.Equal(t, service.Calls().WaitingWatches, int64(0))
		watcher.SetActive(true)
		assert.DeepEqual(t, <-watcher.Manifests(), first)
		view.Offer(first)

		for number := spoke.TicketNumber(2); number < 6; number++ {
			synctest.Wait()
			service.SetFaults(kvsvc.Faults{StaleReads: 0.5})
			next, err := acceptor.Accept(ctx, workspaceTicket(number, "op", "w1", float64(number)))
			assert.NilError(t, err)
			begin := time.Now()
			assert.DeepEqual(t, <-watcher.Manifests(), next)
			// After an outage the watcher may be in a backoff of up to 2 s; stale reads add to it.
			assert.Assert(t, time.Since(begin) < 3*time.Second)
			view.Offer(next)
			service.SetFaults(kvsvc.Faults{Outage: kvsvc.OutageRefuse})
			<-time.After(30 * time.Second)
		}
		service.SetFaults(kvsvc.Faults{})
		<-time.After(5 * time.Second)
		assert.Equal(t, service.Calls().WaitingWatches, int64(1))

		watcher.SetActive(false)
		<-time.After(time.Minute)
		before := service.Calls()
		<-time.After(time.Minute)
		assert.Equal(t, service.Calls(), before)
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
	})
}

// TestViewNumberNeverDecreases guards against a view that returns to an older manifest when several
// sources offer manifests concurrently, and against a subscriber that misses the newest one.
func TestViewNumberNeverDecreases(t *testing.T) {
	view := ticket.NewView()
	changes, stop := view.Subscribe()
	defer stop()
	var group sync.WaitGroup
	for source := range 4 {
		group.Go(func() {
			last := spoke.TicketNumber(0)
			for i := range 1000 {
				view.Offer(&spoke.Manifest{Number: spoke.TicketNumber((i*(source+3))%1000 + 1)})
				now := view.Number()
				assert.Check(t, now >= last, "number decreased from %d to %d", last, now)
				last = now
			}
		})
	}
	group.Wait()
	assert.Equal(t, (<-changes).Number, spoke.TicketNumber(1000))
	assert.Equal(t, view.Number(), spoke.TicketNumber(1000))
}
