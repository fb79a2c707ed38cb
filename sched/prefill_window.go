package sched

import (
	"math"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// First tokens are averaged over this time, short enough to detect a flood within one to two
	// seconds.
	firstTokenWindow = time.Second
	// The window is this multiple of the observed parallelism, so that it can grow.
	windowHeadroom = 1.25
	// The next prompt is granted when this fraction of the unloaded prefill time of the previous
	// one has passed, so that the engine does not become idle between them. The remaining time
	// covers a tick and a round trip.
	handoverFraction = 0.6
)

// prefillWindow limits the number of granted prompts that wait for their first token. An engine
// that prefills one prompt at a time serves the others in order of arrival or by a priority of
// its own, so ranks and workspace shares have no effect on prompts queued inside the engine.
type prefillWindow struct {
	// unloaded is the mean time to first token in seconds, by cost bucket, of items granted while
	// no other prompt waited for its first token. Shorter times of other items count too.
	unloaded [costBuckets]float64
	// unloadedSum sums the unloaded times of the prompts with a first token. Its rate is the number
	// of prompts that the engine processes in parallel.
	unloadedSum decayingSum
	// measured is set at the first observation; before it the window is unbounded.
	measured       bool
	lastFirstToken time.Time
}

// observe records the time to first token of an item; undelivered is the number of other items
// without a first token at its grant.
func (w *prefillWindow) observe(now time.Time, cost spoke.TokenCount, firstToken time.Duration, undelivered int) {
	unloaded := &w.unloaded[costBucket(cost)]
	if undelivered == 0 || *unloaded == 0 || firstToken.Seconds() < *unloaded {
		*unloaded = ewma(*unloaded, firstToken.Seconds(), ratioGain)
	}
	w.unloadedSum.add(now, *unloaded)
	w.measured, w.lastFirstToken = true, now
}

// parallelism returns the number of prompts that the engine processes in parallel, at least one.
func (w *prefillWindow) parallelism(now time.Time) int {
	return max(int(math.Round(w.unloadedSum.rate(now))), 1)
}

// serialRate returns the cost per second of items of the given cost that are prefilled one after
// another; it is infinite if unknown.
func (w *prefillWindow) serialRate(cost float64) float64 {
	unloaded := w.unloaded[costBucket(spoke.TokenCount(cost))]
	if unloaded == 0 {
		return math.Inf(1)
	}
	return cost / unloaded
}

// size returns the maximum number of running items without a first token.
func (w *prefillWindow) size(now time.Time) int {
	if !w.measured {
		return math.MaxInt
	}
	return int(windowHeadroom*w.unloadedSum.rate(now)) + 1
}

// undelivered counts the running items without a first token that take precedence over new items of
// a class: those of the same or a more urgent rank, and those granted by a floor.
func (q *queue) undelivered(c *class) int {
	count := 0
	for _, e := range q.running {
		if !e.delivered && !e.preempted && (e.byFloor || e.class.rank.Order <= c.rank.Order) {
			count++
		}
	}
	return count
}

// isWindowFull reports whether a class has to wait until the engine delivers first tokens.
func (q *queue) isWindowFull(now time.Time, c *class) bool {
	return q.prefill.measured && q.undelivered(c) >= q.prefill.size(now)
}

// isPrefillBusy reports whether the prompts of a class and of more urgent ones occupy the prefill
// of the engine for longer than the next grant takes to arrive. A prompt granted earlier would
// wait inside the engine, where it delays later prompts of more urgent ranks or of workspaces
// below their share.
func (q *queue) isPrefillBusy(now time.Time, c *class) bool {
	if !q.prefill.measured {
		return false
	}
	busy := 0
	for _, e := range q.running {
		if e.delivered || e.preempted || !e.byFloor && e.class.rank.Order > c.rank.Order {
			continue
		}
		// Before the last first token, the engine may have processed the prompt of that token.
		since := now.Sub(latest(e.started, q.prefill.lastFirstToken)).Seconds()
		if since < handoverFraction*q.prefill.unloaded[costBucket(e.item.Cost)] {
			busy++
		}
	}
	return busy >= q.prefill.parallelism(now)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// prefillVictims returns the items to preempt so that the prefill of an urgent item that was just
// granted starts at once: items of lower ranks without a first token, as many as exceed the
// parallelism of the engine. With fewer preemptions, another prompt that waits inside the engine
// would be prefilled next.
func (q *queue) prefillVictims(now time.Time, granted *entry) []*entry {
	if !q.prefill.measured || granted.class != q.classes[0] {
		return nil
	}
	var chosen []*entry
	undelivered := 0
	for _, e := range q.running {
		if e.delivered || e.preempted {
			continue
		}
		undelivered++
		if e.class.rank.Order > granted.class.rank.Order && e.item.Preemptible && !e.byFloor {
			chosen = append(chosen, e)
		}
	}
	slices.SortStableFunc(chosen, func(a, b *entry) int { return b.class.rank.Order - a.class.rank.Order })
	return chosen[:min(max(undelivered-q.prefill.parallelism(now), 0), len(chosen))]
}

// deliver records the first token of a running item.
func (a *Admission) deliver(now time.Time, attempt spoke.AttemptID) {
	e := a.entries[attempt]
	if e == nil || !e.running || e.delivered {
		return
	}
	e.delivered = true
	e.queue.service.add(now, float64(e.item.Cost))
	if !e.item.Resumed {
		e.queue.prefill.observe(now, e.item.Cost, now.Sub(e.started), e.undeliveredAtGrant)
	}
	a.advance(now, e.queue)
}
