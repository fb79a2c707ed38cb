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
	// opWithdraw removes a claim whose caller has already received a refusal.
	opWithdraw
)

type (
	opKind int

	result struct {
		granted bool
		record  spoke.ClaimRecord
		err     error
	}

	// op is a change of a shard that is queued for its commit.
	op struct {
		kind    opKind
		request spoke.ClaimRequest
		answer  *spoke.PlainAnswer
		// deadline is the time after which the worker drops a finish, release or withdrawal; a
		// claim is dropped when its caller abandons it.
		deadline time.Time
		// mayBeWritten is set if a write that contains the op may have taken effect or may
		// still do so; only the worker accesses it.
		mayBeWritten bool

		mu        sync.Mutex
		delivered bool
		abandoned bool
		results   chan result
	}
)

func newOp(kind opKind, request spoke.ClaimRequest, deadline time.Time) *op {
	return &op{kind: kind, request: request, deadline: deadline, results: make(chan result, 1)}
}

// deliver passes the result to the waiting caller; it returns false if the caller has abandoned
// the op.
func (o *op) deliver(r result) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.abandoned {
		return false
	}
	if !o.delivered {
		o.delivered = true
		o.results <- r
	}
	return true
}

// abandon marks the op as abandoned by its caller. It calls beforeAbandon before the worker can
// observe the mark, and returns false if a result has already been delivered.
func (o *op) abandon(beforeAbandon func()) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.delivered {
		return false
	}
	beforeAbandon()
	o.abandoned = true
	return true
}

func (o *op) isAbandoned() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.abandoned
}

// apply changes the shard; it returns the result and whether the shard must be written.
func (o *op) apply(s shard, now time.Time, neverRuns func(spoke.AttemptID) bool) (result, bool) {
	switch o.kind {
	case opClaim:
		return s.claim(o.request, now, neverRuns)
	case opFinish:
		return s.finish(o.request, o.answer)
	case opRelease:
		return s.release(o.request)
	default:
		// A write is needed even if the shard is unchanged: it raises the revision, so that
		// the compare-and-swap of an earlier, delayed write fails.
		_, _ = s.release(o.request)
		return result{}, true
	}
}
