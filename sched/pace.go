package sched

import (
	"math"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// First tokens are counted over this time; a flood has to show within a second or two.
	paceWindow = time.Second
	// The window keeps this multiple of the parallel work that was seen, so that it can grow.
	paceHeadroom = 1.25
	// A prompt is handed over when the one before it has used this part of its time alone, so
	// that the engine does not run dry between them; the rest covers a tick and a round trip.
	nearlyDone = 0.6
)

// pace bounds the granted prompts that wait for their first token. An engine that prefills one
// prompt at a time serves the others in the order of their arrival or of a priority of its
// own, so that neither ranks nor shares of workspaces decide any more.
type pace struct {
	// alone is the mean time to first token by cost of items that were granted beside no
	// other undelivered one, in seconds.
	alone [costBuckets]float64
	// delivered is the decayed sum of the times that the delivered prompts take alone. Its rate
	// is the number of prompts that the engine works on at a time.
	delivered decayed
	isKnown   bool
	// last is the time of the last first token.
	last time.Time
}

// observe takes the time to first token of an item; others is the number of undelivered items
// at its grant.
func (p *pace) observe(now time.Time, cost spoke.TokenCount, took time.Duration, others int) {
	alone := &p.alone[bucketOf(cost)]
	if others == 0 || *alone == 0 || took.Seconds() < *alone {
		*alone = blend(*alone, took.Seconds(), ratioGain)
	}
	p.delivered.add(now, *alone)
	p.isKnown, p.last = true, now
}

// parallel is the number of prompts that the engine works on at a time.
func (p *pace) parallel(now time.Time) int {
	return max(int(math.Round(p.delivered.rate(now))), 1)
}

// rate is the cost per second of items that are prefilled one after the other.
func (p *pace) rate(cost float64) float64 {
	alone := p.alone[bucketOf(spoke.TokenCount(cost))]
	if alone == 0 {
		return math.Inf(1)
	}
	return cost / alone
}

// window is the number of undelivered items that may be granted.
func (p *pace) window(now time.Time) int {
	if !p.isKnown {
		return math.MaxInt
	}
	return int(paceHeadroom*p.delivered.rate(now)) + 1
}

// undelivered counts the running items without a first token that come before those of a class:
// of more urgent ranks, of its own, and those that their floor granted.
func (q *queue) undelivered(c *class) int {
	count := 0
	for _, e := range q.running {
		if !e.delivered && !e.preempted && (e.byFloor || e.class.rank.Order <= c.rank.Order) {
			count++
		}
	}
	return count
}

// isPaced reports whether a class has to wait until the engine delivers first tokens.
func (q *queue) isPaced(now time.Time, c *class) bool {
	return q.pace.isKnown && q.undelivered(c) >= q.pace.window(now)
}

// isBusy reports whether the prompts of a class and of more urgent ones keep the engine busy for
// longer than a hand-over takes. One that is handed over earlier only waits inside the engine,
// where it delays whatever comes next of a more urgent rank or of a workspace below its share.
func (q *queue) isBusy(now time.Time, c *class) bool {
	if !q.pace.isKnown {
		return false
	}
	busy := 0
	for _, e := range q.running {
		if e.delivered || e.preempted || !e.byFloor && e.class.rank.Order > c.rank.Order {
			continue
		}
		// Until the last first token came, the engine may have worked on that one.
		since := now.Sub(latest(e.started, q.pace.last)).Seconds()
		if since < nearlyDone*q.pace.alone[bucketOf(e.item.Cost)] {
			busy++
		}
	}
	return busy >= q.pace.parallel(now)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// unstarted returns the items to preempt so that an urgent one just granted finds a free
// prefill: undelivered ones of lower ranks, as many as the engine has no room for beside it.
// With fewer, another one that waits inside the engine takes the place that becomes free.
func (q *queue) unstarted(now time.Time, granted *entry) []*entry {
	if !q.pace.isKnown || granted.class != q.classes[0] {
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
	return chosen[:min(max(undelivered-q.pace.parallel(now), 0), len(chosen))]
}

// deliver notes the first token of a running item.
func (a *Admission) deliver(now time.Time, attempt spoke.AttemptID) {
	e := a.entries[attempt]
	if e == nil || !e.running || e.delivered {
		return
	}
	e.delivered = true
	e.queue.drain.serve(now, float64(e.item.Cost))
	if !e.item.Resumed {
		e.queue.pace.observe(now, e.item.Cost, now.Sub(e.started), e.others)
	}
	a.advance(now, e.queue)
}
