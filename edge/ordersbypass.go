package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/swap"
)

const (
	// bypassYield is the time for which a host leaves the orders lease to others, from each moment on at which it reaches
	// too few engines.
	bypassYield = time.Second
	// wayCheckInterval is the least time between two checks of the way to one engine, maxWayChecks bounds those that run.
	wayCheckInterval = time.Second
	maxWayChecks     = 16
)

// isBypassed reports whether for some time this host has been unable to order any engine because it does not reach enough
// of them, while other hosts do.
func (o *orders) isBypassed() bool {
	return o.bypass.Observe(o.timer.Now(), o.ways.hasBypassed() && o.isBlocked())
}

// isBlocked reports whether this host may order no engine because of those that it does not reach.
func (o *orders) isBlocked() bool {
	upstreams := o.listed()
	bypassed := o.ways.bypassed(upstreams)
	return len(bypassed) > 0 && swap.AreAllBlocked(upstreams, o.toOrder(upstreams), bypassed)
}

// toOrder returns the engines with older weights; while there are none, all engines, which the next weights concern.
func (o *orders) toOrder(upstreams []spoke.Upstream) map[spoke.UpstreamID]bool {
	toOrder := make(map[spoke.UpstreamID]bool)
	_, outdated := o.models()
	for _, id := range outdated {
		toOrder[id] = true
	}
	if len(outdated) > 0 {
		return toOrder
	}
	for _, upstream := range upstreams {
		toOrder[upstream.ID] = true
	}
	return toOrder
}

// leaveBypassed leaves the orders to a host that reaches more engines.
func (o *orders) leaveBypassed(isHeld bool) {
	if isHeld {
		engines := o.listed()
		o.log.WithFields(logrus.Fields{"engines": len(engines), "bypassed": len(o.ways.bypassed(engines))}).
			Warn("orders lease is left to others: they reach engines that this host does not")
		o.paths = newEnginePaths()
	}
	o.keeper.Yield(o.leaseTimer.Now().Add(bypassYield))
}

// checkWay finds out whether another host reaches an engine that gave no report.
func (o *orders) checkWay(id spoke.UpstreamID) {
	listed, isListed := o.upstreams[id]
	now := o.timer.Now()
	if !isListed || now.Sub(o.wayCheckedAt[id]) < wayCheckInterval {
		return
	}
	select {
	case o.wayChecks <- struct{}{}:
	default:
		return
	}
	o.wayCheckedAt[id] = now
	go func() {
		// The connection itself is the result.
		_ = o.ways.probe(context.Background(), listed.Address)
		<-o.wayChecks
	}()
}
