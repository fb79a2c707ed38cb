package edge

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// writeError writes an error of this host. Its outcome is not-run for statuses below 500 and for 503, and
// outcome-unknown otherwise.
func writeError(w http.ResponseWriter, status int, code string, retryAfter time.Duration) {
	outcome := "outcome-unknown"
	if status < http.StatusInternalServerError || status == http.StatusServiceUnavailable {
		outcome = "not-run"
	}
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(retryAfter.Seconds()*1000)/1000, 'f', -1, 64))
	}
	// The type always encodes.
	body, _ := json.Marshal(map[string]errorBody{"error": {Code: code, Outcome: outcome}})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // A disconnected caller is detected through the request context.
}

// refuse sends an error for a call that was not run.
func (e *exchange) refuse(status int, reason string, retryAfter time.Duration, fields logrus.Fields) {
	e.log.WithFields(fields).WithFields(logrus.Fields{
		"status": status, "reason": reason, "retry-after": retryAfter.String(), "route": e.route.Name,
		"held": time.Since(e.arrived).String(),
	}).Warn("call refused")
	e.metrics.addAnswer(e.route.Name, reason, e.arrived)
	writeError(e.writer, status, reason, retryAfter)
}

// fail sends an error for a call that an upstream may have run.
func (e *exchange) fail(status int, reason string, fields logrus.Fields) {
	e.log.WithFields(fields).WithFields(logrus.Fields{
		"status": status, "reason": reason, "route": e.route.Name, "held": time.Since(e.arrived).String(),
	}).Warn("call failed")
	e.metrics.addAnswer(e.route.Name, reason, e.arrived)
	writeError(e.writer, status, reason, 0)
}

// deliver sends a complete answer of an upstream to the caller.
func (e *exchange) deliver(answer *bufferedAnswer) {
	head := answer.head
	if err := e.writeAnswer(head, answer.body); err != nil {
		e.log.WithError(err).Info("caller left before its answer was written")
	}
	e.isAnswered = head.Status < http.StatusInternalServerError
	level := logrus.InfoLevel
	if head.Status >= http.StatusInternalServerError {
		// The caller gets the upstream's failure, so its line must not be dropped with those of
		// successes when the log exceeds its limits.
		level = logrus.WarnLevel
	}
	e.log.WithFields(logrus.Fields{"status": head.Status, "framing": answer.framing, "took": time.Since(e.arrived).String()}).WithFields(evidenceFields(answer.evidence)).Log(level, "answered")
	e.metrics.addAnswer(e.route.Name, "status-"+strconv.Itoa(head.Status), e.arrived)
}

func (e *exchange) writeAnswer(head answerHead, body []byte) error {
	header := e.writer.Header()
	copyHeader(header, head.Header)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	e.writer.WriteHeader(head.Status)
	_, err := e.writer.Write(body)
	return err
}

// copyHeader copies header fields and keeps the server from adding a content type.
func copyHeader(target, source http.Header) {
	for name, values := range source {
		target[name] = values
	}
	if source.Get("Content-Type") == "" {
		target["Content-Type"] = nil
	}
}
