package cache

import "time"

const (
	// allowanceShare is the share of the recompute time that imports may lose.
	allowanceShare = 0.1
	// maxBalance bounds the time that fast imports save up for slow ones.
	maxBalance = 2 * time.Second
)

type (
	// Allowance limits the time that imports lose compared with recomputing: the sum of all losses
	// stays below a tenth of the recompute time of all requests. It is not safe for concurrent use.
	Allowance struct {
		balance time.Duration
	}

	// Grant is the time that one import may lose.
	Grant struct {
		// recompute is the predicted time to recompute all blocks of the import.
		recompute time.Duration
		// reserved is the part of the balance that the import may lose besides its base allowance.
		reserved time.Duration
	}
)

// Reserve reserves the time that an import may lose, given the recompute time of its blocks.
func (a *Allowance) Reserve(recompute time.Duration) Grant {
	reserved := min(max(0, a.balance), recompute)
	a.balance -= reserved
	return Grant{recompute: recompute, reserved: reserved}
}

// Limit returns the time after the start of an import at which it is ended; saved is the recompute
// time of the blocks imported so far. It never exceeds the time to recompute all blocks.
func (g Grant) Limit(saved time.Duration) time.Duration {
	return min(g.recompute, saved+g.reserved+baseAllowance(g.recompute))
}

// Settle returns the unused part of a grant to the balance after an import that took the given
// time; saved is the recompute time of the imported blocks. An import that was faster than
// recomputing adds the difference to the balance.
func (a *Allowance) Settle(grant Grant, took, saved time.Duration) {
	lost := took - saved
	a.balance = min(maxBalance, a.balance+grant.reserved+baseAllowance(grant.recompute)-lost)
}

// Skip adds the base allowance of blocks that are recomputed without an attempt to import them.
func (a *Allowance) Skip(recompute time.Duration) {
	a.balance = min(maxBalance, a.balance+baseAllowance(recompute))
}

// baseAllowance returns the time that an import may lose regardless of the balance.
func baseAllowance(recompute time.Duration) time.Duration {
	return time.Duration(allowanceShare * float64(recompute))
}
