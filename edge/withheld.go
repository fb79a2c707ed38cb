package edge

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke/place"
)

// isWithheld reports whether an attempt of which nothing was sent was ended since its upstream must not get the call.
func isWithheld(ctx context.Context, err error) bool {
	return errors.Is(err, errEvacuated) || errors.Is(err, errOtherHomes) || errors.Is(context.Cause(ctx), errEvacuated)
}

// recordWithheld records and logs an attempt that was withheld from its upstream; the call may go to any other one.
func (a *attempt) recordWithheld(err error) bool {
	a.ending, a.failure = place.EndWithheld, err
	a.progress.lastFault = "withheld from its upstream"
	a.metrics.addWithheld()
	a.log.WithError(err).WithFields(logrus.Fields{"upstream": a.grant.Upstream.ID, "data-centre": a.grant.Upstream.DataCentre}).Info("call withheld from its upstream")
	return false
}

// mayMove reports whether the call may be sent to another upstream after the next one.
func (e *exchange) mayMove(p *progress) bool {
	return e.route.IsRepeatable() && len(p.sent)+1 < e.route.MaxUpstreams && len(p.only) == 0 && !p.stream.isLate()
}

// recallEvacuated cancels an attempt at an evacuated upstream that has not begun.
func (p *planner) recallEvacuated(recall context.CancelCauseFunc) {
	p.metrics.addEvacuationRecall()
	recall(errEvacuated)
}
