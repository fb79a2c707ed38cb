package admin

import (
	"errors"
	"fmt"
	"net/http"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/check"
)

var httpStatusByCode = map[spoke.AdminCode]int{
	spoke.AdminBadRequest:     http.StatusBadRequest,
	spoke.AdminTooLarge:       http.StatusRequestEntityTooLarge,
	spoke.AdminUnauthorized:   http.StatusUnauthorized,
	spoke.AdminNotFound:       http.StatusNotFound,
	spoke.AdminInvalidTicket:  http.StatusUnprocessableEntity,
	spoke.AdminStaleNumber:    http.StatusConflict,
	spoke.AdminConflict:       http.StatusConflict,
	spoke.AdminNotReady:       http.StatusServiceUnavailable,
	spoke.AdminUnavailable:    http.StatusServiceUnavailable,
	spoke.AdminUnknownOutcome: http.StatusGatewayTimeout,
	spoke.AdminInternal:       http.StatusInternalServerError,
}

func httpStatus(code spoke.AdminCode) int {
	if status, ok := httpStatusByCode[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// classify maps an error of the backend or the codec to an administration error.
func classify(err error) *spoke.AdminError {
	var typed *spoke.AdminError
	var report *check.Report
	switch {
	case errors.As(err, &typed):
		return typed
	case errors.As(err, &report):
		message := fmt.Sprintf("the ticket has %d findings; nothing was applied", len(report.Findings))
		return &spoke.AdminError{Code: spoke.AdminInvalidTicket, Message: message, Cause: report}
	case errors.Is(err, spoke.ErrUnavailable):
		return &spoke.AdminError{Code: spoke.AdminUnavailable, Message: err.Error(), Cause: err}
	case errors.Is(err, spoke.ErrAnswerLost):
		return &spoke.AdminError{Code: spoke.AdminUnknownOutcome, Message: err.Error(), Cause: err}
	default:
		return &spoke.AdminError{Code: spoke.AdminInternal, Message: err.Error(), Cause: err}
	}
}

func badRequest(cause error, format string, args ...any) *spoke.AdminError {
	message := fmt.Sprintf(format, args...) + ": " + cause.Error()
	return &spoke.AdminError{Code: spoke.AdminBadRequest, Message: message, Cause: cause}
}
