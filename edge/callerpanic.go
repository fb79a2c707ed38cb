package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke/caller"
	"magnoliaspoke.example/spoke/place"
)

// answerWriter records whether the answer has begun.
type answerWriter struct {
	http.ResponseWriter
	hasBegun bool
}

// WriteHeader begins the answer.
func (w *answerWriter) WriteHeader(status int) {
	w.hasBegun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.hasBegun = true
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer of the server, for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// recoverAnswer gives the caller an answer after a panic, which the server's library would end without one. It
// aborts an answer that has begun.
func (e *exchange) recoverAnswer(w *answerWriter, r *http.Request) {
	fields := caller.PanicFields(recover())
	if fields == nil {
		return
	}
	e.log.WithFields(fields).WithFields(logrus.Fields{"passed-on": e.isPassedOn, "begun": w.hasBegun, "route": e.route.Name}).Error("handler panicked")
	e.metrics.addAnswer(e.route.Name, "panic", e.arrived)
	if w.hasBegun {
		e.cutConnection()
	}
	clear(w.Header())
	if e.isPassedOn {
		writeError(w, http.StatusBadGateway, "internal", 0)
	} else {
		writeError(w, http.StatusServiceUnavailable, "internal", shortRetryAfter)
	}
	e.discardBody(w, r, e.arrived.Add(defaultWait), e.hasReadBody)
}

// runGuarded runs the attempt and records its end if it panics; the scheduler would otherwise count it as running.
// The fault is not the upstream's.
func (a *attempt) runGuarded(callCtx, ctx context.Context) bool {
	a.isPassedOn = true
	hasReturned := false
	defer func() {
		if hasReturned {
			return
		}
		a.endWatch()
		now := time.Now()
		a.quarantine.registry.End(now, a.id, false)
		a.endParts(now, false)
		a.planner.in <- schedulerMessage{message: place.Ended{Call: a.grant.Call, Ending: place.EndCancelled}}
	}()
	result := a.run(callCtx, ctx)
	hasReturned = true
	return result
}
