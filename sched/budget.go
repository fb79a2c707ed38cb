package sched

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// Retries may add 10% to the attempts, so that they do not overload a failing service.
	defaultRetryShare = 0.1
	// Retries per second without any request: workspaces that send few requests would otherwise
	// wait too long for a retry.
	defaultRetryReserve   = 0.1
	defaultWorkspaceBurst = 5
	defaultOverallBurst   = 50
)

type (
	// RetryBudget limits retries to a share of the requests, per workspace and overall. It takes
	// the time as an argument and is not safe for concurrent use.
	RetryBudget struct {
		share      float64
		reserve    float64
		burst      float64
		overall    tokenBucket
		workspaces map[spoke.WorkspaceID]*tokenBucket
	}

	// RetryOption changes a setting of a RetryBudget.
	RetryOption func(*RetryBudget)
)

// WithRetryShare sets the fraction of a retry that each request adds to the budget.
func WithRetryShare(share spoke.Share) RetryOption {
	return func(b *RetryBudget) { b.share = float64(share) }
}

// WithRetryReserve sets the rate at which the budgets refill without any request, in retries
// per second.
func WithRetryReserve(perSecond float64) RetryOption {
	return func(b *RetryBudget) { b.reserve = perSecond }
}

// WithRetryBurst sets the maximum number of accumulated retries per workspace and overall.
func WithRetryBurst(workspace, overall float64) RetryOption {
	return func(b *RetryBudget) { b.burst, b.overall.burst = workspace, overall }
}

// NewRetryBudget returns a retry budget with full buckets.
func NewRetryBudget(options ...RetryOption) *RetryBudget {
	b := &RetryBudget{
		share: defaultRetryShare, reserve: defaultRetryReserve, burst: defaultWorkspaceBurst,
		overall:    newTokenBucket(defaultRetryReserve, defaultOverallBurst),
		workspaces: make(map[spoke.WorkspaceID]*tokenBucket),
	}
	for _, option := range options {
		option(b)
	}
	b.overall = newTokenBucket(b.reserve, b.overall.burst)
	return b
}

// Deposit adds the share of one request to the budgets; it is called at first attempts.
func (b *RetryBudget) Deposit(now time.Time, workspace spoke.WorkspaceID) {
	b.overall.refill(now)
	b.overall.add(b.share)
	bucket := b.bucket(workspace)
	bucket.refill(now)
	bucket.add(b.share)
}

// Withdraw takes one retry of a workspace and reports whether both budgets allow it.
func (b *RetryBudget) Withdraw(now time.Time, workspace spoke.WorkspaceID) bool {
	bucket := b.bucket(workspace)
	if !bucket.available(now) || !b.overall.available(now) {
		return false
	}
	return bucket.take(now) && b.overall.take(now)
}

// Retain removes the budgets of all workspaces other than the given ones.
func (b *RetryBudget) Retain(workspaces []spoke.Workspace) {
	kept := make(map[spoke.WorkspaceID]*tokenBucket, len(workspaces))
	for _, workspace := range workspaces {
		if bucket := b.workspaces[workspace.ID]; bucket != nil {
			kept[workspace.ID] = bucket
		}
	}
	b.workspaces = kept
}

func (b *RetryBudget) bucket(workspace spoke.WorkspaceID) *tokenBucket {
	bucket := b.workspaces[workspace]
	if bucket == nil {
		created := newTokenBucket(b.reserve, b.burst)
		bucket = &created
		b.workspaces[workspace] = bucket
	}
	return bucket
}
