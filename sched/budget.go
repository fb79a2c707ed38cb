package sched

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// A tenth more attempts than requests keeps a failing service from being
	// flooded by retries.
	defaultRetryShare = 0.1
	// Small callers send too few requests to earn a retry in time.
	defaultRetryReserve   = 0.1
	defaultWorkspaceBurst = 5
	defaultOverallBurst   = 50
)

type (
	// RetryBudget bounds retries to a share of the requests, per workspace and overall; it is pure.
	RetryBudget struct {
		share      float64
		reserve    float64
		burst      float64
		overall    bucket
		workspaces map[spoke.WorkspaceID]*bucket
	}

	// RetryOption changes a setting of a RetryBudget.
	RetryOption func(*RetryBudget)
)

// WithRetryShare sets the number of retries that each request allows for.
func WithRetryShare(share spoke.Share) RetryOption {
	return func(b *RetryBudget) { b.share = float64(share) }
}

// WithRetryReserve sets the retries per second that a workspace has without any request.
func WithRetryReserve(perSecond float64) RetryOption {
	return func(b *RetryBudget) { b.reserve = perSecond }
}

// WithRetryBurst bounds the retries saved up by a workspace and overall.
func WithRetryBurst(workspace, overall float64) RetryOption {
	return func(b *RetryBudget) { b.burst, b.overall.burst = workspace, overall }
}

// NewRetryBudget returns a budget whose buckets are full.
func NewRetryBudget(options ...RetryOption) *RetryBudget {
	b := &RetryBudget{
		share: defaultRetryShare, reserve: defaultRetryReserve, burst: defaultWorkspaceBurst,
		overall:    newBucket(defaultRetryReserve, defaultOverallBurst),
		workspaces: make(map[spoke.WorkspaceID]*bucket),
	}
	for _, option := range options {
		option(b)
	}
	b.overall = newBucket(b.reserve, b.overall.burst)
	return b
}

// Request counts a first attempt of a workspace.
func (b *RetryBudget) Deposit(now time.Time, workspace spoke.WorkspaceID) {
	b.overall.refill(now)
	b.overall.add(b.share)
	own := b.bucket(workspace)
	own.refill(now)
	own.add(b.share)
}

// Retry takes one retry of a workspace and reports whether the budgets allow it.
func (b *RetryBudget) Withdraw(now time.Time, workspace spoke.WorkspaceID) bool {
	own := b.bucket(workspace)
	if !own.available(now) || !b.overall.available(now) {
		return false
	}
	return own.take(now) && b.overall.take(now)
}

// Retain forgets the workspaces that are not configured.
func (b *RetryBudget) Retain(workspaces []spoke.Workspace) {
	kept := make(map[spoke.WorkspaceID]*bucket, len(workspaces))
	for _, workspace := range workspaces {
		if own := b.workspaces[workspace.ID]; own != nil {
			kept[workspace.ID] = own
		}
	}
	b.workspaces = kept
}

func (b *RetryBudget) bucket(workspace spoke.WorkspaceID) *bucket {
	own := b.workspaces[workspace]
	if own == nil {
		fresh := newBucket(b.reserve, b.burst)
		own = &fresh
		b.workspaces[workspace] = own
	}
	return own
}
