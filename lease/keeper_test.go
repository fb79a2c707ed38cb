package lease_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/coord"
	"magnoliaspoke.example/spoke/fake/kvsvc"
	"magnoliaspoke.example/spoke/lease"
)

const ttl = 3 * time.Second

// withoutDeadline hides the test's Deadline method, which must not be called inside a synctest
// bubble.
type withoutDeadline struct{ testing.TB }

// pausingTransport delays a call before it is sent and after its response arrives, as a pause of
// the process does.
type pausingTransport struct {
	http.RoundTripper
	mu            sync.Mutex
	before, after time.Duration
}

func (p *pausingTransport) set(before, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.before, p.after = before, after
}

func (p *pausingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	p.mu.Lock()
	before, after := p.before, p.after
	p.mu.Unlock()
	<-time.After(before)
	response, err := p.RoundTripper.RoundTrip(r.WithContext(context.WithoutCancel(r.Context())))
	<-time.After(after)
	return response, err
}

// contenders is the model state of a test in which several keepers compete for one lease.
type contenders struct {
	service    *kvsvc.Service
	transports []*pausingTransport
	keepers    []*lease.Keeper
	// highestFence is the highest token that an order could have carried so far.
	highestFence spoke.FencingToken
}

func (r *contenders) setFaults(t *rapid.T) {
	r.service.SetFaults(kvsvc.Faults{
		Outage:      rapid.SampledFrom([]string{"", "", "", kvsvc.OutageRefuse, kvsvc.OutageHold}).Draw(t, "outage"),
		DelayMs:     rapid.SampledFrom([]int64{0, 0, 500, 2000}).Draw(t, "delay"),
		LoseAnswers: rapid.SampledFrom([]float64{0, 0.3, 0.8}).Draw(t, "lose"),
	})
}

func (r *contenders) setPause(t *rapid.T) {
	pauses := []time.Duration{0, 0, time.Second, 4 * time.Second}
	rapid.SampledFrom(r.transports).Draw(t, "keeper").set(
		rapid.SampledFrom(pauses).Draw(t, "before"), rapid.SampledFrom(pauses).Draw(t, "after"))
}

// yield leaves the lease to others for a time that may be shorter than a call or than what is left of the lease.
func (r *contenders) yield(t *rapid.T) {
	for range rapid.IntRange(1, 10).Draw(t, "times") {
		lengths := []time.Duration{time.Millisecond, ttl / 10, ttl, 2 * ttl}
		rapid.SampledFrom(r.keepers).Draw(t, "keeper").Yield(time.Now().Add(rapid.SampledFrom(lengths).Draw(t, "yield")))
		<-time.After(ttl / 30)
		synctest.Wait()
		r.checkSingleHolder(t)
	}
}

func (r *contenders) advance(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "steps") {
		<-time.After(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
		synctest.Wait()
		r.checkSingleHolder(t)
	}
}

func (r *contenders) checkSingleHolder(t *rapid.T) {
	holders := 0
	for _, keeper := range r.keepers {
		held, ok := keeper.Held(time.Now(), 0)
		if !ok {
			continue
		}
		holders++
		assert.Assert(t, held.Fence >= r.highestFence, "token %d after %d", held.Fence, r.highestFence)
		r.highestFence = held.Fence
	}
	assert.Assert(t, holders <= 1, "%d keepers hold the lease at the same time", holders)
}

// Guards against two holders that may send orders at the same time and against a holder with an
// older token than its predecessor, under pauses, lost responses, delays, outages and yields; and against
// keepers that do not acquire the lease again afterwards.
func TestOnlyOneHolderUnderPausesAndFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{t}, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			r := &contenders{service: kvsvc.New()}
			var group sync.WaitGroup
			for i := range 3 {
				transport := &pausingTransport{RoundTripper: kvsvc.NewTransport(r.service)}
				client := coord.New("platform", coord.WithTransport(transport))
				r.transports = append(r.transports, transport)
				keeper := lease.New(client, "l", spoke.HostID(fmt.Sprint(i)), ttl)
				r.keepers = append(r.keepers, keeper)
				group.Go(func() { _ = keeper.Run(ctx) })
				// Sequential starts make the order of the first calls the same in each run.
				synctest.Wait()
			}
			t.Cleanup(func() {
				r.service.SetFaults(kvsvc.Faults{})
				cancel()
				group.Wait()
				<-time.After(time.Minute)
			})
			t.Repeat(map[string]func(*rapid.T){"faults": r.setFaults, "pause": r.setPause, "yield": r.yield, "advance": r.advance})
			r.checkRecovery(t)
		})
	})
}

func (r *contenders) checkRecovery(t *rapid.T) {
	r.service.SetFaults(kvsvc.Faults{})
	for _, p := range r.transports {
		p.set(0, 0)
	}
	<-time.After(4*ttl + 10*time.Second)
	synctest.Wait()
	for _, keeper := range r.keepers {
		if _, ok := keeper.Held(time.Now(), ttl/2); ok {
			return
		}
	}
	t.Fatal("no keeper holds the lease after the faults ended")
}

// Guards against orders that may take effect after the lease has expired, and against a lease that
// is not released at the end.
func TestHeldRespectsMarginAndRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		service := kvsvc.New()
		client := coord.New("platform", coord.WithTransport(kvsvc.NewTransport(service)))
		keeper := lease.New(client, "l", "h", ttl)
		done := make(chan error, 1)
		go func() { done <- keeper.Run(ctx) }()
		synctest.Wait()
		now := time.Now()
		_, ok := keeper.Held(now, ttl-time.Nanosecond)
		assert.Assert(t, ok)
		_, ok = keeper.Held(now, ttl)
		assert.Assert(t, !ok)
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
		_, ok = keeper.Held(now, 0)
		assert.Assert(t, !ok)
		_, err := client.Acquire(context.Background(), "l", "other", ttl)
		assert.NilError(t, err)
	})
}

// Guards against a holder that cannot use the lease and keeps others from it, and against one that orders on while it
// leaves the lease to them.
func TestYieldedLeaseIsAcquiredByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		service := kvsvc.New()
		var keepers []*lease.Keeper
		for i := range 2 {
			keeper := lease.New(coord.New("platform", coord.WithTransport(kvsvc.NewTransport(service))), "l", spoke.HostID(fmt.Sprint(i)), ttl)
			keepers = append(keepers, keeper)
			group.Go(func() { _ = keeper.Run(ctx) })
			synctest.Wait()
		}
		isHeld := func(number int) bool {
			_, ok := keepers[number].Held(time.Now(), 0)
			return ok
		}
		assert.Assert(t, isHeld(0) && !isHeld(1))

		keepers[0].Yield(time.Now().Add(4 * ttl))
		assert.Assert(t, !isHeld(0))
		<-time.After(2 * ttl)
		synctest.Wait()
		assert.Assert(t, isHeld(1) && !isHeld(0))

		<-time.After(3 * ttl)
		keepers[1].Yield(time.Now().Add(4 * ttl))
		<-time.After(2 * ttl)
		synctest.Wait()
		assert.Assert(t, isHeld(0) && !isHeld(1), "it competes again")
	})
}
