package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke/place"
)

// recordBrittle counts an answer in which the upstream says that it is brittle, and passes that on to the scheduler.
func (a *attempt) recordBrittle() {
	if a.head.InvalidBrittle != "" {
		a.log.WithFields(logrus.Fields{"upstream": a.grant.Upstream.ID, "value": a.head.InvalidBrittle}).Warn("ignored that the upstream is brittle: not a valid number of rejections")
	}
	if a.head.Brittle == nil {
		return
	}
	a.metrics.addBrittle()
	a.quarantine.registry.NoteBrittle(time.Now(), a.grant.Upstream.ID, *a.head.Brittle, a.head.IsRejectedForRoom())
	if a.head.IsRejectedForRoom() {
		a.metrics.addBrittleRejection()
	}
	a.planner.in <- schedulerMessage{message: place.BrittleNamed{Call: a.grant.Call, Most: *a.head.Brittle}}
}

// logBrittle logs that an upstream has become brittle, stands another number of rejections, or is brittle no longer.
func (p *planner) logBrittle(change place.BrittleChanged) {
	text := "upstream is brittle"
	if change.IsEnded {
		text = "upstream is no longer brittle"
	}
	p.log.WithFields(logrus.Fields{
		"upstream": change.Upstream, "rejections": change.Most, "slots": change.Slots, "share": change.Share, "from": change.Host,
	}).Info(text)
}
