package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke/place"
)

// streamTotal is what an attempt shows of the time that a whole stream takes.
type streamTotal struct {
	// firstAt is when the first event arrived, the zero time if there is none or the attempt resumes a stream.
	firstAt time.Time
	// isResumed says that the caller had events of an earlier attempt.
	isResumed bool
}

func (t *streamTotal) began(now time.Time) {
	if !t.isResumed {
		t.firstAt = now
	}
}

// streamed returns the number of events and the time from the first to the last, zero if the stream was resumed.
func (a *attempt) streamed() (events int, took time.Duration) {
	if a.total.firstAt.IsZero() || a.progress.stream == nil || a.spec.LastEventID != "" {
		return 0, 0
	}
	return a.progress.stream.events, max(a.progress.stream.lastEventAt.Sub(a.total.firstAt), 0)
}

// recordTotal counts a stream that has ended by its deadline, and the predicted time of one that is whole.
func (a *attempt) recordTotal() {
	events, _ := a.streamed()
	switch {
	case events == 0:
	case a.ending == place.EndServed && a.grant.PredictedWhole > 0:
		a.metrics.addPredictedWhole(a.route.Name, a.sentAt.Add(a.grant.PredictedWhole).Sub(a.arrived))
	case a.ending == place.EndCancelled && !time.Now().Before(a.deadline):
		a.metrics.addCutStream(a.grant.IsAtRisk)
	}
}

// totalFields returns the predicted times from the arrival to the end of the stream, if they are known.
func (a *attempt) totalFields() logrus.Fields {
	if a.grant.PredictedWhole == 0 {
		return nil
	}
	waited := a.sentAt.Sub(a.arrived)
	events, streamed := a.streamed()
	return logrus.Fields{
		"attempt-events": events, "streamed": streamed.String(),
		"predicted-whole": (waited + a.grant.PredictedWhole).String(), "predicted-tail": (waited + a.grant.PredictedTail).String(),
		"at-risk": a.grant.IsAtRisk,
	}
}
