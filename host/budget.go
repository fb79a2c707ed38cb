package host

import (
	"sync"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/sched"
)

const (
	// workspaceRetries covers the runs of one workspace on an upstream that dies.
	workspaceRetries = 32
	// overallRetries covers the runs of a few upstreams that die together.
	overallRetries = 512
)

// retryBudget lets all requests of a host share one budget.
type retryBudget struct {
	mu     sync.Mutex
	budget *sched.RetryBudget
	timer  spoke.Timer
}

func newRetryBudget(timer spoke.Timer) *retryBudget {
	return &retryBudget{budget: sched.NewRetryBudget(sched.WithRetryBurst(workspaceRetries, overallRetries)), timer: timer}
}

// Deposit counts a request's first attempt.
func (b *retryBudget) Deposit(workspace spoke.WorkspaceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Deposit(b.timer.Now(), workspace)
}

// Withdraw takes one retry; false means that the budget is used up.
func (b *retryBudget) Withdraw(workspace spoke.WorkspaceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Withdraw(b.timer.Now(), workspace)
}
