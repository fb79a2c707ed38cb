package openai

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/caller"
)

// recoverAnswer gives the caller a refusal after a panic, which the server's library would end without one. It aborts
// an answer that has begun.
func (x *exchange) recoverAnswer() {
	fields := caller.PanicFields(recover())
	if fields == nil {
		return
	}
	x.log.WithFields(fields).WithFields(logrus.Fields{"request-id": x.id, "passed-on": x.isPassedOn, "begun": x.hasBegun}).Error("handler panicked")
	if x.hasBegun {
		panic(http.ErrAbortHandler)
	}
	x.writeRefusal(x.panicRefusal())
	x.discardBody()
}

// panicRefusal returns the refusal of a request whose handler panicked.
func (x *exchange) panicRefusal() *spoke.Refusal {
	if x.isPassedOn {
		return spoke.RefuseUnknown(spoke.CodeUpstreamFailed, "internal error")
	}
	refusal := spoke.RefuseNotRun(spoke.CodeNotReady, "internal error")
	refusal.RetryAfter = panicRetryAfter
	return refusal
}
