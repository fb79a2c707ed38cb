package place

import "time"

// budgetSlots is the number of slots in the window of the retry budget.
const budgetSlots = 10

type (
	// counter counts events in a sliding window.
	counter struct {
		width time.Duration
		slots [budgetSlots]int
		// begin is the start of the slot of the first time, from which slots are numbered. Unlike a time of day, the time
		// since then does not jump when the clock is set.
		begin time.Time
		// at is the number of the newest slot.
		at int64
	}

	// budget bounds the retries of one service by this host, such that all hosts together stay within the
	// bound even if each uses up its budget at the same time.
	budget struct {
		calls   counter
		retries counter
	}
)

func newBudget(window time.Duration) *budget {
	width := window / budgetSlots
	return &budget{calls: counter{width: width}, retries: counter{width: width}}
}

// allows reports whether one more retry stays within the share of calls plus the reserve.
func (b *budget) allows(now time.Time, share, reserve float64) bool {
	return float64(b.retries.sum(now))+1 <= share*float64(b.calls.sum(now))+reserve
}

func (c *counter) add(now time.Time) {
	c.advance(now)
	c.slots[c.at%budgetSlots]++
}

func (c *counter) sum(now time.Time) int {
	c.advance(now)
	total := 0
	for _, count := range c.slots {
		total += count
	}
	return total
}

// advance clears the slots that have left the window.
func (c *counter) advance(now time.Time) {
	if c.begin.IsZero() {
		c.begin = now.Add(-time.Duration(now.UnixNano() % int64(c.width)))
	}
	current := int64(now.Sub(c.begin) / c.width)
	for step := max(c.at+1, current-budgetSlots+1); step <= current; step++ {
		c.slots[step%budgetSlots] = 0
	}
	c.at = max(c.at, current)
}
