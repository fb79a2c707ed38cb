package edge

import (
	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

// logResumption logs a call that resumes a stream, with the request that the caller names as the first one.
func (e *exchange) logResumption() {
	if e.call.LastEventID != "" {
		e.log.WithFields(logrus.Fields{"last-event-id": e.call.LastEventID, "resumes": e.call.Resumes}).Info("call resumes a stream")
	}
}

// requiredSoftware returns the software version at which the stream has to go on, empty if it has not begun.
func (s *streamState) requiredSoftware() spoke.SoftwareVersion {
	if !s.hasBegun() {
		return ""
	}
	return s.software
}
