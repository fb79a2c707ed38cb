package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/claim"
	"magnoliaspoke.example/spoke/coord"
	"magnoliaspoke.example/spoke/fake/kvsvc"
)

// bubble hides the Deadline method of the test, which must not be called inside a synctest bubble.
type bubble struct{ testing.TB }

// hostsModel is the model of the state machine test: several hosts claim the same keys while the
// platform fails.
type hostsModel struct {
	service *kvsvc.Service
	claims  []*claim.Claims

	mu       sync.Mutex
	attempts int
	// holders maps each key to its grant that has not been released.
	holders   map[spoke.IdempotencyKey]*grant
	violation string
}

type grant struct {
	request  spoke.ClaimRequest
	host     int
	finished bool
}

var answer = spoke.PlainAnswer{Status: 201, Body: []byte("booked")}

func newHosts(count int) *hostsModel {
	h := &hostsModel{
		service: kvsvc.New(),
		holders: make(map[spoke.IdempotencyKey]*grant),
	}
	h.service.SetFaults(kvsvc.Faults{DelayMs: 1})
	for seed := range uint64(count) {
		client := coord.New("platform", coord.WithTransport(kvsvc.NewTransport(h.service)))
		h.claims = append(h.claims, claim.New(client, claim.WithShards(2), claim.WithSeed(seed)))
	}
	return h
}

func (h *hostsModel) setFaults(t *rapid.T) {
	h.service.SetFaults(kvsvc.Faults{
		Outage:        rapid.SampledFrom([]string{"", "", "", kvsvc.OutageRefuse, kvsvc.OutageHold}).Draw(t, "outage"),
		DelayMs:       rapid.SampledFrom([]int64{1, 1, 100, 400}).Draw(t, "delay"),
		DelayWritesMs: rapid.SampledFrom([]int64{0, 200, 400, 700, 2000}).Draw(t, "delay-writes"),
		LoseAnswers:   rapid.SampledFrom([]float64{0, 0.3, 0.8}).Draw(t, "lose"),
		StaleReads:    rapid.SampledFrom([]float64{0, 0, 0.5}).Draw(t, "stale"),
	})
}

func (h *hostsModel) claimConcurrently(t *rapid.T) {
	var group sync.WaitGroup
	for i := range rapid.IntRange(1, 5).Draw(t, "count") {
		host := rapid.IntRange(0, len(h.claims)-1).Draw(t, "host")
		key := rapid.SampledFrom([]spoke.IdempotencyKey{"k1", "k2", "k3"}).Draw(t, "key")
		// Calls take 1 ms; distinct start times make the order of all calls reproducible.
		start := time.Duration(rapid.IntRange(0, 400).Draw(t, "start")*5+i) * 10 * time.Microsecond
		group.Go(func() {
			<-time.After(start)
			h.claim(host, key)
		})
	}
	group.Wait()
	assert.Equal(t, h.violation, "")
}

func (h *hostsModel) claim(host int, key spoke.IdempotencyKey) {
	h.mu.Lock()
	h.attempts++
	request := spoke.ClaimRequest{
		ID:      spoke.ClaimID{Workspace: "w", Service: "orders", Key: key},
		Content: "c", Attempt: spoke.AttemptID(fmt.Sprint(h.attempts)), Host: spoke.HostID(fmt.Sprint(host)),
	}
	h.mu.Unlock()
	begin := time.Now()
	granted, current, err := h.claims[host].Claim(context.Background(), request)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkClaim(host, request, granted, current, err)
	if took := time.Since(begin); took > 500*time.Millisecond {
		h.violation = fmt.Sprintf("claim took %v", took)
	}
}

func (h *hostsModel) checkClaim(host int, request spoke.ClaimRequest, granted bool, current spoke.ClaimRecord, err error) {
	holder := h.holders[request.ID.Key]
	var refusal *spoke.Refusal
	switch {
	case errors.As(err, &refusal):
		if refusal.Code != spoke.CodePlatformUnavailable || refusal.Outcome != spoke.OutcomeNotRun {
			h.violation = err.Error()
		}
	case err != nil:
		h.violation = err.Error()
	case granted && holder != nil:
		h.violation = fmt.Sprintf("key %s granted to %s while %s holds it", request.ID.Key, request.Attempt, holder.request.Attempt)
	case granted:
		h.holders[request.ID.Key] = &grant{request: request, host: host}
	case current.State == spoke.ClaimDone && (holder == nil || !holder.finished || current.Attempt != holder.request.Attempt):
		h.violation = fmt.Sprintf("key %s reported as done by attempt %s, which did not finish it", request.ID.Key, current.Attempt)
	}
}

// endGrant finishes or releases a grant, after a finish and a release by an attempt that does not
// hold it.
func (h *hostsModel) endGrant(t *rapid.T) {
	key := rapid.SampledFrom([]spoke.IdempotencyKey{"k1", "k2", "k3"}).Draw(t, "key")
	holder := h.holders[key]
	if holder == nil || holder.finished {
		return
	}
	other := holder.request
	other.Attempt = "other-attempt"
	claims := h.claims[holder.host]
	_ = claims.Finish(context.Background(), other, spoke.PlainAnswer{Status: 500})
	_ = claims.Release(context.Background(), other)
	if rapid.Bool().Draw(t, "release") {
		delete(h.holders, key)
		_ = claims.Release(context.Background(), holder.request)
		return
	}
	holder.finished = true
	_ = claims.Finish(context.Background(), holder.request, answer)
}

// verify ends all faults, waits for the background writes and claims every key again at every host.
func (h *hostsModel) verify(t *rapid.T) {
	h.service.SetFaults(kvsvc.Faults{})
	<-time.After(10 * time.Second)
	for _, key := range []spoke.IdempotencyKey{"k1", "k2", "k3"} {
		for host, claims := range h.claims {
			h.attempts++
			request := spoke.ClaimRequest{
				ID:      spoke.ClaimID{Workspace: "w", Service: "orders", Key: key},
				Content: "other", Attempt: spoke.AttemptID(fmt.Sprint(h.attempts)),
			}
			granted, current, err := claims.Claim(context.Background(), request)
			assert.NilError(t, err)
			holder := h.holders[key]
			if holder == nil {
				assert.Assert(t, granted, "key %s at host %d: still claimed by attempt %s, which was refused or released", key, host, current.Attempt)
				h.holders[key] = &grant{request: request, host: host}
				continue
			}
			assert.Assert(t, !granted)
			assert.DeepEqual(t, current.ClaimRequest, holder.request)
			assert.Equal(t, current.State == spoke.ClaimDone, holder.finished)
			if holder.finished {
				assert.DeepEqual(t, *current.Answer, answer)
			}
		}
	}
	for _, claims := range h.claims {
		assert.NilError(t, claims.Close(context.Background()))
	}
}

// stop ends all goroutines, so that a leak report does not hide the failure.
func (h *hostsModel) stop() {
	h.service.SetFaults(kvsvc.Faults{})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, claims := range h.claims {
		_ = claims.Close(ended)
	}
	<-time.After(time.Minute)
}

// Guards against a key granted twice, a claim that remains although its attempt was refused, and a
// wrong result for a repeated request, while the platform is unavailable or its answers are lost or
// late.
func TestConcurrentClaimsUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			h := newHosts(3)
			t.Cleanup(h.stop)
			t.Repeat(map[string]func(*rapid.T){"faults": h.setFaults, "race": h.claimConcurrently, "end": h.endGrant})
			h.verify(t)
		})
	})
}
