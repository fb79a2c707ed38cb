package edge

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

// errOtherSoftware reports an upstream that has started with another software version than a stream needs.
var errOtherSoftware = errors.New("upstream has started with another software version")

// findOrigin sets the software version at which a stream that the call resumes has to go on. It refuses the call and
// returns false if the version is not known, since the events of two versions must not be joined.
func (e *exchange) findOrigin(ctx context.Context) bool {
	if e.call.LastEventID == "" {
		return true
	}
	fields := logrus.Fields{"last-event-id": e.call.LastEventID, "resumes": e.call.Resumes}
	software, isKnown := e.origins.required(ctx, e.service(), e.call.Resumes)
	if !isKnown {
		e.refuse(http.StatusServiceUnavailable, "software-version-unknown", e.capRetryAfter(shortRetryAfter), fields)
		return false
	}
	e.resumedSoftware = software
	e.log.WithFields(fields).WithField("software", software).Info("call resumes a stream")
	return true
}

// originRequest returns the caller's request that brought the first event of the stream.
func (e *exchange) originRequest() spoke.RequestID {
	if e.call.LastEventID != "" && e.call.Resumes != "" {
		return e.call.Resumes
	}
	return e.call.Request
}

// requiredSoftware returns the software version at which the call has to be served, empty for any.
func (e *exchange) requiredSoftware(p *progress) spoke.SoftwareVersion {
	if p.stream.hasBegun() {
		return p.stream.software
	}
	return e.resumedSoftware
}

// endOrigin records the end of the call's answer if it brought events of a stream.
func (e *exchange) endOrigin() {
	if e.isOriginRecorded {
		e.origins.ended(e.originRequest())
	}
}

// unsettledSoftware returns the software versions at which the stream of the call must not begin yet, and until when. A
// call that was tried before has no choice of upstreams left to be made smaller.
func (e *exchange) unsettledSoftware(p *progress) ([]spoke.SoftwareVersion, time.Time) {
	if !e.route.IsResumable || len(p.tried) > 0 || e.requiredSoftware(p) != "" {
		return nil, time.Time{}
	}
	return e.origins.unsettled(e.service())
}

// mayGoOn reports whether the stream of the call, if it has begun, may go on in another attempt.
func (e *exchange) mayGoOn(p *progress) bool {
	if p.stream.isLate() {
		return false
	}
	if !p.stream.hasBegun() || !e.route.IsResumable {
		return true
	}
	software, isKnown := e.origins.find(e.originRequest())
	return !isKnown || software == p.stream.software
}

// hasOtherSoftware reports whether the upstream of the attempt has started with another software version than the
// one that it was chosen for.
func (a *attempt) hasOtherSoftware() bool {
	return !a.hasBegun && a.requiredSoftware(a.progress) != "" && a.origins.isReplaced(a.grant.Upstream)
}

// recordOrigin records the software version of a stream before its first event is sent to the caller.
func (a *attempt) recordOrigin(state *streamState) {
	state.software = a.grant.Upstream.Software
	if a.route.IsResumable {
		a.origins.began(a.originRequest(), a.service(), a.grant.Upstream)
		a.isOriginRecorded = true
	}
}
