package spoke

import (
	"net/http"
	"time"
)

type (
	// RejectionCount is a number of requests that an upstream rejects within a second for want of room.
	RejectionCount int

	// UpstreamBrittleness is what a host knows of an upstream that falls over if it rejects too many requests.
	UpstreamBrittleness struct {
		Upstream UpstreamStart
		// Most is the number of rejections from which one more makes the upstream fall over.
		Most RejectionCount
		// IsEnded reports whether the upstream has stopped saying that it is brittle.
		IsEnded bool
		// Age is the time since the answer that said so, or since the request was sent whose answer did not.
		Age time.Duration
		// Rejected is the number of the host's requests that the upstream has recently rejected for want of room.
		Rejected RejectionCount
	}
)

// NamesNoBrittleness reports whether the upstream itself has answered the request without saying that it is brittle.
// Statements that a request was not run may come from another upstream or a proxy.
func (h AnswerHead) NamesNoBrittleness() bool {
	isOwn := h.Status != 0 && h.Fault == FaultNone && !h.IsNotRun
	return isOwn && h.Brittle == nil && h.InvalidBrittle == ""
}

// IsRejectedForRoom reports whether the upstream states that it did not run the request since it has no room for it.
func (h AnswerHead) IsRejectedForRoom() bool {
	return h.IsNotRun && !h.IsMisdirected && h.Status == http.StatusServiceUnavailable
}
