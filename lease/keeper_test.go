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

// bubble hides the test's Deadline, which may not be asked for inside a synctest bubble.
type bubble struct{ testing.TB }

// pausing stops the caller before a call leaves and before its answer is seen, as a paused
// process does.
type pausing struct {
	http.RoundTripper
	mu            sync.Mutex
	before, after time.Duration
}

func (p *pausing) set(before, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.before, p.after = before, after
}

func (p *pausing) RoundTrip(r *http.Request) (*http.Response, error) {
	p.mu.Lock()
	before, after := p.before, p.after
	p.mu.Unlock()
	<-time.After(before)
	answer, err := p.RoundTripper.RoundTrip(r.WithContext(context.WithoutCancel(r.Context())))
	<-time.After(after)
	return answer, err
}

// rivals is the state machine: several keepers want the same lease.
type rivals struct {
	service *kvsvc.Service
	pauses  []*pausing
	keepers []*lease.Keeper
	// fence is the highest token that an order could have carried so far.
	fence spoke.FencingToken
}

func (r *rivals) setFaults(t *rapid.T) {
	r.service.SetFaults(kvsvc.Faults{
		Outage:      rapid.SampledFrom([]string{"", "", "", kvsvc.OutageRefuse, kvsvc.OutageHold}).Draw(t, "outage"),
		DelayMs:     rapid.SampledFrom([]int64{0, 0, 500, 2000}).Draw(t, "delay"),
		LoseAnswers: rapid.SampledFrom([]float64{0, 0.3, 0.8}).Draw(t, "lose"),
	})
}

func (r *rivals) setPause(t *rapid.T) {
	pauses := []time.Duration{0, 0, time.Second, 4 * time.Second}
	rapid.SampledFrom(r.pauses).Draw(t, "keeper").set(
		rapid.SampledFrom(pauses).Draw(t, "before"), rapid.SampledFrom(pauses).Draw(t, "after"))
}

func (r *rivals) advance(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "steps") {
		<-time.After(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
		synctest.Wait()
		r.check(t)
	}
}

func (r *rivals) check(t *rapid.T) {
	holders := 0
	for _, keeper := range r.keepers {
		held, ok := keeper.Held(time.Now(), 0)
		if !ok {
			continue
		}
		holders++
		assert.Assert(t, held.Fence >= r.fence, "token %d after %d", held.Fence, r.fence)
		r.fence = held.Fence
	}
	assert.Assert(t, holders <= 1, "%d holders believe that they may order", holders)
}

// Guards against two holders that may order at the same time and against a holder with an older
// token than its predecessor, under pauses, lost answers, delays and outages; and against
// keepers that do not get the lease again afterwards.
func TestRivals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			r := &rivals{service: kvsvc.New()}
			var group sync.WaitGroup
			for i := range 3 {
				pauses := &pausing{RoundTripper: kvsvc.NewTransport(r.service)}
				client := coord.New("platform", coord.WithTransport(pauses))
				r.pauses = append(r.pauses, pauses)
				keeper := lease.New(client, "l", spoke.HostID(fmt.Sprint(i)), ttl)
				r.keepers = append(r.keepers, keeper)
				group.Go(func() { _ = keeper.Run(ctx) })
				// One start after the other keeps the order of the first calls the same in each run.
				synctest.Wait()
			}
			t.Cleanup(func() {
				r.service.SetFaults(kvsvc.Faults{})
				cancel()
				group.Wait()
				<-time.After(time.Minute)
			})
			t.Repeat(map[string]func(*rapid.T){"faults": r.setFaults, "pause": r.setPause, "advance": r.advance})
			r.recover(t)
		})
	})
}

func (r *rivals) recover(t *rapid.T) {
	r.service.SetFaults(kvsvc.Faults{})
	for _, p := range r.pauses {
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

// Guards against an order that outlives the lease.
func TestMargin(t *testing.T) {
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
