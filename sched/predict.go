package sched

import (
	"math"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// Time constant of the granted shares in predicted waits. With a shorter one the predictions
	// vary so much that work is admitted and then refused.
	grantWindow = 10 * time.Second
	// Time constant of the offered load, which decides whether a rank is limited to its floor. It
	// has to show a flood within seconds.
	offerWindow = 2 * time.Second
	// Costs and durations are averaged over about fifty items. The variance of shorter averages
	// causes late refusals.
	rateGain = 0.02
	// Keeps the prediction for a rank without floor finite in a flood.
	minShare = 0.01
	// Maximum fraction of a target that is reserved for the time from grant to first token.
	// Without it, a target below that time would refuse all work.
	maxServiceFraction = 0.5
)

type (
	// decayingSum is an exponentially decaying sum.
	decayingSum struct {
		sum       float64
		updatedAt time.Time
		window    time.Duration
	}

	// serviceCurve is the waiting cost that start-time fair queueing serves before a start tag, as
	// a piecewise linear function of the tag.
	serviceCurve struct {
		tags, served, slopes []float64
	}
)

func (d *decayingSum) value(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.updatedAt).Seconds()/d.window.Seconds())
}

// rate returns the mean amount per second.
func (d *decayingSum) rate(now time.Time) float64 { return d.value(now) / d.window.Seconds() }

func (d *decayingSum) add(now time.Time, amount float64) {
	d.sum = d.value(now) + amount
	d.updatedAt = now
}

// costAhead returns the waiting cost that is served before an item with the start tag.
func (c *class) costAhead(tag float64) float64 {
	var cost float64
	for _, f := range c.active {
		cost += min(max(tag-f.startTag, 0)*f.weight, float64(f.backlog))
	}
	return cost
}

// serviceCurve returns a curve whose costAhead gives the same results without a scan of all flows.
func (c *class) serviceCurve() serviceCurve {
	type change struct{ tag, slope float64 }
	changes := make([]change, 0, 2*len(c.active))
	for _, f := range c.active {
		changes = append(changes,
			change{f.startTag, f.weight},
			change{f.startTag + float64(f.backlog)/f.weight, -f.weight})
	}
	slices.SortFunc(changes, func(a, b change) int {
		switch {
		case a.tag < b.tag:
			return -1
		case a.tag > b.tag:
			return 1
		}
		return 0
	})
	n := len(changes)
	curve := serviceCurve{make([]float64, 0, n), make([]float64, 0, n), make([]float64, 0, n)}
	var served, slope, last float64
	for _, ch := range changes {
		served += slope * (ch.tag - last)
		slope, last = slope+ch.slope, ch.tag
		curve.tags = append(curve.tags, ch.tag)
		curve.served = append(curve.served, served)
		curve.slopes = append(curve.slopes, slope)
	}
	return curve
}

func (s serviceCurve) costAhead(tag float64) float64 {
	i, found := slices.BinarySearch(s.tags, tag)
	if found {
		return s.served[i]
	}
	if i == 0 {
		return 0
	}
	return s.served[i-1] + s.slopes[i-1]*(tag-s.tags[i-1])
}

// serviceRate returns the cost per second that the upstream serves, without its reserved slots;
// zero means unknown.
func (q *queue) serviceRate() float64 {
	if q.meanDuration == 0 {
		return 0
	}
	slotRate := q.meanCost / q.meanDuration * q.meanSlots
	if !q.prefill.measured {
		return slotRate
	}
	return q.service.rate(min(slotRate, q.prefill.serialRate(q.meanCost)))
}

// share returns the fraction of capacity that more urgent work and the floors of other classes
// leave to a class. The offered load is included because it shows a flood within seconds, before
// the grants do.
func (q *queue) share(now time.Time, c *class, rate float64) float64 {
	remaining := 1.0
	for _, other := range q.classes {
		switch {
		case other.rank.Order < c.rank.Order:
			remaining -= max(other.granted.rate(now), other.offered.rate(now)) / rate
		case other != c && other.waiting > 0:
			remaining -= float64(other.rank.Floor)
		}
	}
	return max(remaining, minShare)
}

// forecast holds the inputs that the predicted waits of one class have in common.
type forecast struct {
	// rate is the cost per second of the upstream; zero means that work starts immediately.
	rate  float64
	share float64
	// urgentBacklog is the waiting cost of more urgent classes; residual is the cost to be served
	// before a slot becomes free.
	urgentBacklog, residual float64
	floor, credit           float64
}

func (q *queue) forecast(now time.Time, c *class) forecast {
	rate := q.serviceRate()
	if rate == 0 || !q.isSaturated() {
		return forecast{}
	}
	f := forecast{rate: rate, share: q.share(now, c, rate), floor: float64(c.rank.Floor), credit: c.credit}
	missing := len(q.running) + 1 - (q.limit.Value() - q.reservedSlots())
	if missing > 0 {
		missing -= q.preemptibleSlots(now, c)
	}
	f.residual = float64(max(missing, 0)) * q.meanCost
	for _, other := range q.classes {
		if other.rank.Order < c.rank.Order {
			f.urgentBacklog += float64(other.backlog)
		}
	}
	return f
}

// wait predicts the time until an item starts; ahead is the cost of its class that is served
// before it. It returns the shorter of the waits by urgency and by the floor.
func (f forecast) wait(ahead, cost float64) time.Duration {
	if f.rate == 0 {
		return 0
	}
	// The item's own cost is included, because more urgent work that arrives in the meantime also
	// delays the head of a class.
	wait := ((ahead+f.urgentBacklog+cost)/f.share - cost + f.residual) / f.rate
	if f.floor > 0 {
		due := max(ahead+cost-f.credit, 0)
		wait = min(wait, (due/f.floor+f.residual)/f.rate)
	}
	return seconds(wait)
}

// waitBudget returns the target minus the expected time from grant to first token: the longest
// acceptable queueing time.
func (c *class) waitBudget() time.Duration {
	target := c.rank.FirstTokenTarget
	service := min(seconds(c.meanFirstToken), time.Duration(float64(target)*maxServiceFraction))
	return target - service
}

func (q *queue) observeRate(cost spoke.TokenCount, duration time.Duration) {
	q.finished++
	gain := max(rateGain, 1/float64(q.finished))
	q.meanCost = ewma(q.meanCost, float64(max(cost, 1)), gain)
	q.meanDuration = ewma(q.meanDuration, duration.Seconds(), gain)
	// The mean duration was measured under past limits, so it is combined with the mean number of
	// slots. Combined with the current limit, a change of the limit would cause refusals.
	slots := float64(q.limit.Value() - q.reservedSlots())
	if q.limit.inSlowStart() {
		q.meanSlots = slots
	}
	q.meanSlots = ewma(q.meanSlots, slots, gain)
}
