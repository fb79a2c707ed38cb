package edge

import "github.com/sirupsen/logrus"

// logResumption logs a call that resumes a stream, with the request that the caller names as the first one.
func (e *exchange) logResumption() {
	if e.call.LastEventID != "" {
		e.log.WithFields(logrus.Fields{"last-event-id": e.call.LastEventID, "resumes": e.call.Resumes}).Info("call resumes a stream")
	}
}
