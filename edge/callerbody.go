package edge

import (
	"net/http"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/caller"
	"magnoliaspoke.example/spoke/guard"
)

// discardTime returns how long the body of a refused call is read.
func discardTime(call *spoke.RelayedCall) time.Duration {
	if call.Timeout > 0 {
		return min(call.Timeout, defaultWait)
	}
	return defaultWait
}

// discardBody reads the rest of the body of a refused call. A caller that waits for the server's consent to
// send its body sends none after a refusal, unless the host has begun to read it.
func (h *relayer) discardBody(w http.ResponseWriter, r *http.Request, deadline time.Time, isSent bool) {
	if isSent && guard.CallOf(r).AwaitBody() {
		caller.Discard(h.requests.Ending(), w, r, deadline)
	}
}

// discardRest reads the rest of the body of this call after its refusal.
func (e *exchange) discardRest(r *http.Request) {
	e.discardBody(e.writer, r, e.arrived.Add(discardTime(e.call)), e.hasReadBody || !e.awaitsConsent)
}
