package edge

import (
	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke/place"
)

// recordLimit logs and counts an answer in which the upstream names the rate of requests that it accepts, and
// passes the rate on to the scheduler.
func (a *attempt) recordLimit() {
	fields := logrus.Fields{"upstream": a.grant.Upstream.ID}
	if a.head.InvalidLimit != "" {
		a.log.WithFields(fields).WithField("value", a.head.InvalidLimit).Warn("ignored the limit that the upstream named: not a valid rate")
	}
	if a.head.Limit != nil {
		a.metrics.addLimited()
		a.log.WithFields(fields).WithField("limit", *a.head.Limit).Info("upstream named a limit in an answer")
		a.planner.in <- schedulerMessage{message: place.LimitNamed{Call: a.grant.Call, Limit: *a.head.Limit}}
	}
}

// logLimit logs a change of a limit, which this host or another one has received.
func (p *planner) logLimit(change place.LimitChanged) {
	p.log.WithFields(logrus.Fields{
		"upstream": change.Upstream, "limit": change.Rate, "is-ended": change.IsEnded, "share": change.Share, "from": change.Host,
	}).Info("limit of an upstream changed")
}
