package claim

import (
	"sync"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	opClaim opKind = iota
	opFinish
	opRelease
	// opWithdraw takes back a claim whose attempt was told not to run.
	opWithdraw
)

type (
	opKind int

	result struct {
		granted bool
		record  spoke.ClaimRecord
		err     error
	}

	// op is one change of a shard that waits for its commit.
	op struct {
		kind    opKind
		request spoke.ClaimRequest
		answer  *spoke.PlainAnswer
		// until is the time after which the worker gives the op up.
		until time.Time
		// sent says that a write with the op may take effect; only the worker uses it.
		sent bool

		mu        sync.Mutex
		settled   bool
		abandoned bool
		results   chan result
	}
)

func newOp(kind opKind, request spoke.ClaimRequest, until time.Time) *op {
	return &op{kind: kind, request: request, until: until, results: make(chan result, 1)}
}

// settle delivers the result; it reports false if the waiting caller has given up before.
func (o *op) settle(r result) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.abandoned {
		return false
	}
	if !o.settled {
		o.settled = true
		o.results <- r
	}
	return true
}

// abandon gives up the wait and calls first before any worker can see it;
// it reports false if a result was delivered before.
func (o *op) abandon(first func()) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.settled {
		return false
	}
	first()
	o.abandoned = true
	return true
}

func (o *op) isAbandoned() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.abandoned
}

// apply changes the shard and reports the result and whether a write is needed.
func (o *op) apply(s shard, now time.Time, neverRuns func(spoke.AttemptID) bool) (result, bool) {
	switch o.kind {
	case opClaim:
		return s.claim(o.request, now, neverRuns)
	case opFinish:
		return s.finish(o.request, o.answer)
	case opRelease:
		return s.release(o.request)
	default:
		// The write is needed even without a change: it moves the revision on,
		// so that an earlier write on its way can no longer take effect.
		_, _ = s.release(o.request)
		return result{}, true
	}
}
