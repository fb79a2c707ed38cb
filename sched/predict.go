package sched

import (
	"math"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// Granted shares enter the predicted waits; over a shorter time they vary so much that
	// work is admitted and refused again.
	grantWindow = 10 * time.Second
	// Offered work decides whether places are held; a flood has to show within seconds.
	offerWindow = 2 * time.Second
	// Costs and durations are averaged over some fifty items; the spread of shorter means
	// refuses work late.
	rateGain = 0.02
	// A rank with floor zero in a flood still has to get a finite prediction.
	minShare = 0.01
	// First tokens are taken to use at most this part of a target; otherwise a target
	// below the bare service time would refuse all work.
	maxServicePart = 0.5
)

type (
	// decayed is an exponentially decayed sum.
	decayed struct {
		sum    float64
		at     time.Time
		window time.Duration
	}

	// profile gives the cost that start-time fair queueing serves before a start tag.
	profile struct {
		tags, served, slopes []float64
	}
)

func (d *decayed) value(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/d.window.Seconds())
}

// rate is the mean amount per second.
func (d *decayed) rate(now time.Time) float64 { return d.value(now) / d.window.Seconds() }

func (d *decayed) add(now time.Time, amount float64) {
	d.sum = d.value(now) + amount
	d.at = now
}

// ahead returns the waiting cost that is served before an item with the start tag.
func (c *class) ahead(tag float64) float64 {
	var cost float64
	for _, f := range c.active {
		cost += min(max(tag-f.start, 0)*f.weight, float64(f.backlog))
	}
	return cost
}

// profile prepares ahead for many tags.
func (c *class) profile() profile {
	type change struct{ tag, slope float64 }
	changes := make([]change, 0, 2*len(c.active))
	for _, f := range c.active {
		changes = append(changes,
			change{f.start, f.weight},
			change{f.start + float64(f.backlog)/f.weight, -f.weight})
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
	p := profile{make([]float64, 0, n), make([]float64, 0, n), make([]float64, 0, n)}
	var served, slope, last float64
	for _, ch := range changes {
		served += slope * (ch.tag - last)
		slope, last = slope+ch.slope, ch.tag
		p.tags = append(p.tags, ch.tag)
		p.served = append(p.served, served)
		p.slopes = append(p.slopes, slope)
	}
	return p
}

func (p profile) ahead(tag float64) float64 {
	i, found := slices.BinarySearch(p.tags, tag)
	if found {
		return p.served[i]
	}
	if i == 0 {
		return 0
	}
	return p.served[i-1] + p.slopes[i-1]*(tag-p.tags[i-1])
}

// drainRate returns the cost per second of the upstream without its reserved places, zero if unknown.
func (q *queue) drainRate() float64 {
	if q.meanDuration == 0 {
		return 0
	}
	places := q.meanCost / q.meanDuration * q.meanPlaces
	if !q.pace.isKnown {
		return places
	}
	return q.drain.rate(min(places, q.pace.rate(q.meanCost)))
}

// share returns the part of capacity that more urgent work and floors leave to a class. Offered work
// shows a flood within seconds, before its grants do.
func (q *queue) share(now time.Time, c *class, rate float64) float64 {
	left := 1.0
	for _, other := range q.classes {
		switch {
		case other.rank.Order < c.rank.Order:
			left -= max(other.granted.rate(now), other.offered.rate(now)) / rate
		case other != c && other.waiting > 0:
			left -= float64(other.rank.Floor)
		}
	}
	return max(left, minShare)
}

// forecast holds what the predicted waits of one class have in common.
type forecast struct {
	// rate is the cost per second of the upstream; zero means that work starts at once.
	rate  float64
	share float64
	// before is the cost served before any waiting work of the class.
	before, residual float64
	floor, credit    float64
}

func (q *queue) forecast(now time.Time, c *class) forecast {
	rate := q.drainRate()
	if rate == 0 || !q.isLimited() {
		return forecast{}
	}
	f := forecast{rate: rate, share: q.share(now, c, rate), floor: float64(c.rank.Floor), credit: c.credit}
	lacking := len(q.running) + 1 - (q.limit.Value() - q.reserve())
	if lacking > 0 {
		lacking -= q.preemptible(now, c)
	}
	f.residual = float64(max(lacking, 0)) * q.meanCost
	for _, other := range q.classes {
		if other.rank.Order < c.rank.Order {
			f.before += float64(other.backlog)
		}
	}
	return f
}

// wait predicts the time until an item starts that has some cost of its class ahead:
// by order of urgency or by the floor, whichever is sooner.
func (f forecast) wait(ahead, cost float64) time.Duration {
	if f.rate == 0 {
		return 0
	}
	// More urgent work that arrives in the meantime delays the item too, also at the head of
	// its class.
	wait := ((ahead+f.before+cost)/f.share - cost + f.residual) / f.rate
	if f.floor > 0 {
		owed := max(ahead+cost-f.credit, 0)
		wait = min(wait, (owed/f.floor+f.residual)/f.rate)
	}
	return seconds(wait)
}

// budget returns the queueing time that leaves room for the first token itself.
func (c *class) budget() time.Duration {
	target := c.rank.FirstTokenTarget
	service := min(seconds(c.firstToken), time.Duration(float64(target)*maxServicePart))
	return target - service
}

func (q *queue) observeRate(cost spoke.TokenCount, duration time.Duration) {
	q.finished++
	gain := max(rateGain, 1/float64(q.finished))
	q.meanCost = blend(q.meanCost, float64(max(cost, 1)), gain)
	q.meanDuration = blend(q.meanDuration, duration.Seconds(), gain)
	// The duration belongs to the limits of the past; together with the current one, each
	// change of the limit would make waiting work look hopeless.
	places := float64(q.limit.Value() - q.reserve())
	if q.limit.isGrowing() {
		q.meanPlaces = places
	}
	q.meanPlaces = blend(q.meanPlaces, places, gain)
}
