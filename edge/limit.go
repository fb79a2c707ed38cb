package edge

import "github.com/sirupsen/logrus"

// recordLimit logs and counts an answer in which the upstream names the rate of requests that it accepts.
func (a *attempt) recordLimit() {
	fields := logrus.Fields{"upstream": a.grant.Upstream.ID}
	if a.head.InvalidLimit != "" {
		a.log.WithFields(fields).WithField("value", a.head.InvalidLimit).Warn("ignored the limit that the upstream named: not a valid rate")
	}
	if a.head.Limit != nil {
		a.metrics.addLimited()
		a.log.WithFields(fields).WithField("limit", *a.head.Limit).Info("upstream named a limit in an answer")
	}
}
