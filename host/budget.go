package host

import (
	"sync"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/sched"
)

const (
	// workspaceRetryBurst covers the runs of one workspace on an upstream that dies.
	workspaceRetryBurst = 32
	// totalRetryBurst covers the runs of a few upstreams that die at the same time.
	totalRetryBurst = 512
)

// retryBudget makes one budget safe for concurrent use by all requests of a host.
type retryBudget struct {
	mu     sync.Mutex
	budget *sched.RetryBudget
	timer  spoke.Timer
}

func newRetryBudget(timer spoke.Timer) *retryBudget {
	return &retryBudget{budget: sched.NewRetryBudget(sched.WithRetryBurst(workspaceRetryBurst, totalRetryBurst)), timer: timer}
}

// Deposit counts a request's first attempt.
func (b *retryBudget) Deposit(workspace spoke.WorkspaceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Deposit(b.timer.Now(), workspace)
}

// Withdraw takes one retry and reports false if the budget is exhausted.
func (b *retryBudget) Withdraw(workspace spoke.WorkspaceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Withdraw(b.timer.Now(), workspace)
}
