package openai

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

// recoverAnswer gives the caller a refusal after a panic, which the server's library would end without one. It aborts
// an answer that has begun.
func (x *exchange) recoverAnswer() {
	fault := recover()
	if fault == nil {
		return
	}
	if err, ok := fault.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(fault)
	}
	x.log.WithFields(logrus.Fields{
		"request-id": x.id, "panic": fmt.Sprint(fault), "stack": string(debug.Stack()), "passed-on": x.isPassedOn, "begun": x.hasBegun,
	}).Error("handler panicked")
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
