package place

import (
	"time"

	"magnoliaspoke.example/spoke/quota"
)

// budget bounds the retries of one service by this host, such that all hosts together stay within the
// bound even if each uses up its budget at the same time.
type budget struct {
	calls   quota.Counter
	retries quota.Counter
}

func newBudget(window time.Duration) *budget {
	return &budget{calls: quota.NewCounter(window), retries: quota.NewCounter(window)}
}

// allows reports whether one more retry stays within the share of calls plus the reserve.
func (b *budget) allows(now time.Time, share, reserve float64) bool {
	return float64(b.retries.Sum(now))+1 <= share*float64(b.calls.Sum(now))+reserve
}
