package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

const (
	// bypassYield is the time for which a host leaves the orders lease to others, from each moment on at which it reaches
	// too few engines.
	bypassYield = time.Second
	// wayCheckInterval is the least time between two checks of the way to one engine, maxWayChecks bounds those that run.
	wayCheckInterval = time.Second
	maxWayChecks     = 16
)

// isBypassed reports whether other hosts have been reaching engines for some time that this one cannot order: more than
// half of all, so that too few are known to serve while one loads, or all that still have older weights.
func (o *orders) isBypassed() bool {
	engines := o.engines()
	lost := o.ways.countBypassed(engines)
	isLost := 2*lost > len(engines)
	if lost > 0 && !isLost && len(o.pending) == 0 {
		_, outdated := o.models()
		isLost = len(outdated) > 0 && o.ways.countBypassed(outdated) == len(outdated)
	}
	return o.bypass.Observe(o.timer.Now(), isLost)
}

// engines returns the listed engines.
func (o *orders) engines() []spoke.UpstreamID {
	engines := make([]spoke.UpstreamID, 0, len(o.upstreams))
	for id, listed := range o.upstreams {
		if len(listed.Weights) > 0 {
			engines = append(engines, id)
		}
	}
	return engines
}

// leaveBypassed leaves the orders to a host that reaches more engines.
func (o *orders) leaveBypassed(isHeld bool) {
	if isHeld {
		engines := o.engines()
		o.log.WithFields(logrus.Fields{"engines": len(engines), "bypassed": o.ways.countBypassed(engines)}).
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
