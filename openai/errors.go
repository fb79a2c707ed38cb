package openai

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
)

// statusClientClosed is the status of requests whose caller closed the connection.
// It is the usual value in access logs and never reaches a caller.
const statusClientClosed = 499

var statuses = map[spoke.RefusalCode]int{
	spoke.CodeBadRequest:          http.StatusBadRequest,
	spoke.CodeTooLarge:            http.StatusRequestEntityTooLarge,
	spoke.CodeUnauthorized:        http.StatusUnauthorized,
	spoke.CodeForbidden:           http.StatusForbidden,
	spoke.CodeNotFound:            http.StatusNotFound,
	spoke.CodeOverloaded:          http.StatusServiceUnavailable,
	spoke.CodeWorkspaceLimit:      http.StatusTooManyRequests,
	spoke.CodeNoUpstream:          http.StatusServiceUnavailable,
	spoke.CodeQuarantined:         http.StatusUnprocessableEntity,
	spoke.CodeNotReady:            http.StatusServiceUnavailable,
	spoke.CodePlatformUnavailable: http.StatusServiceUnavailable,
	spoke.CodeAlreadyRun:          http.StatusConflict,
	spoke.CodeInProgress:          http.StatusConflict,
	spoke.CodeKeyConflict:         http.StatusUnprocessableEntity,
	spoke.CodeUpstreamFailed:      http.StatusBadGateway,
	spoke.CodeDeadline:            http.StatusGatewayTimeout,
	spoke.CodeCancelled:           statusClientClosed,
}

func statusOf(refusal *spoke.Refusal) int {
	if refusal.Code == spoke.CodeTooLarge && refusal.Param == "header" {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if status, ok := statuses[refusal.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

func errorType(code spoke.RefusalCode) string {
	switch code {
	case spoke.CodeUnauthorized:
		return "authentication_error"
	case spoke.CodeForbidden:
		return "permission_error"
	case spoke.CodeWorkspaceLimit:
		return "rate_limit_error"
	}
	if statuses[code] < http.StatusInternalServerError {
		return "invalid_request_error"
	}
	return "server_error"
}

// writeRefusal writes the refusal in err as the response.
func (x *exchange) writeRefusal(err error) {
	refusal := x.toRefusal(err)
	x.refusalLogger(refusal).Info("request refused")
	header := x.w.Header()
	if refusal.RetryAfter > 0 {
		// Retry-After has whole seconds; rounding up prevents retries that are too early.
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	} else {
		// OpenAI's clients retry 409 and 5xx by default; a refusal without RetryAfter must
		// not be retried.
		header.Set("X-Should-Retry", "false")
	}
	if refusal.Code == spoke.CodeUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	x.writeJSON(statusOf(refusal), encodeRefusal(refusal))
}

func (x *exchange) refusalLogger(refusal *spoke.Refusal) *logrus.Entry {
	return x.log.WithFields(logrus.Fields{
		"request-id": x.id,
		"workspace":  x.workspace.ID,
		"code":       refusal.Code,
		"outcome":    refusal.Outcome,
		"reason":     refusal.Message,
	})
}

// writeJSON writes a complete JSON response; its Content-Length lets the caller detect a
// truncated one.
func (x *exchange) writeJSON(status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		x.log.WithError(err).WithField("request-id", x.id).Error("cannot encode the response")
		panic(http.ErrAbortHandler)
	}
	x.writeResponse(status, "application/json", raw)
}

func (x *exchange) writeResponse(status int, contentType string, raw []byte) {
	header := x.w.Header()
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	header.Set("Content-Length", strconv.Itoa(len(raw)))
	x.extendWriteDeadline()
	x.hasBegun = true
	x.w.WriteHeader(status)
	if _, err := x.w.Write(raw); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// extendWriteDeadline sets the write deadline for the next part of the response.
func (x *exchange) extendWriteDeadline() {
	// The error is ignored: writers without deadline support, such as recorders in tests, have
	// no slow readers.
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(x.writeTimeout))
}
