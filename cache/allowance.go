package cache

import "time"

const (
	// extraShare is the share of the recomputing time that imports may cost on top of it.
	extraShare = 0.1
	// maxAllowance bounds the time that fast imports save up for slow ones.
	maxAllowance = 2 * time.Second
)

type (
	// Allowance limits the time that imports lose against recomputing: all losses together stay
	// below a tenth of the recomputing time of all requests. It is not safe for concurrent use.
	Allowance struct {
		balance time.Duration
	}

	// Grant is the time that one import may lose.
	Grant struct {
		// recompute is the predicted time to recompute all blocks of the import.
		recompute time.Duration
		reserved  time.Duration
	}
)

// Open reserves the time that an import may lose, given the recomputing time of its blocks.
func (a *Allowance) Open(recompute time.Duration) Grant {
	reserved := min(max(0, a.balance), recompute)
	a.balance -= reserved
	return Grant{recompute: recompute, reserved: reserved}
}

// Limit returns the time since the start of an import at which it ends, when blocks of a
// given recomputing time have arrived. It never exceeds the time to recompute everything.
func (g Grant) Limit(arrived time.Duration) time.Duration {
	return min(g.recompute, arrived+g.reserved+extraOf(g.recompute))
}

// Settle returns what the import did not lose; an import that was faster than recomputing adds
// what it saved.
func (a *Allowance) Settle(grant Grant, took, arrived time.Duration) {
	lost := took - arrived
	a.balance = min(maxAllowance, a.balance+grant.reserved+extraOf(grant.recompute)-lost)
}

// Skip accounts for blocks that are recomputed without an attempt to import them.
func (a *Allowance) Skip(recompute time.Duration) {
	a.balance = min(maxAllowance, a.balance+extraOf(recompute))
}

func extraOf(recompute time.Duration) time.Duration {
	return time.Duration(extraShare * float64(recompute))
}
