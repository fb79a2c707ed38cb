package plain

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"magnoliaspoke.example/spoke"
)

// notRunRefusal returns the refusal of an attempt that certainly did not run. It returns
// nil if the attempt ran or may have run.
func notRunRefusal(answer spoke.PlainAnswer, err error) *spoke.Refusal {
	if err == nil {
		return parseRefusal(answer)
	}
	var refusal *spoke.Refusal
	if errors.As(err, &refusal) {
		if refusal.Outcome != spoke.OutcomeNotRun {
			return nil
		}
		return refusal
	}
	for _, refused := range []error{spoke.ErrNotRun, spoke.ErrBusy, spoke.ErrDraining} {
		if errors.Is(err, refused) {
			refusal = spoke.RefuseNotRun(spoke.CodeNoUpstream, "%s", err)
			refusal.RetryAfter = defaultRetryAfter
			return refusal
		}
	}
	return nil
}

// parseRefusal returns the refusal in the answer of a service that refused the call before
// it ran, nil if the answer is none.
func parseRefusal(answer spoke.PlainAnswer) *spoke.Refusal {
	if answer.Status != http.StatusServiceUnavailable || answer.Header.Get("X-Not-Run") != "true" {
		return nil
	}
	refusal := spoke.RefuseNotRun(spoke.CodeOverloaded, "the service refused before running")
	refusal.RetryAfter = defaultRetryAfter
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil && seconds > 0 {
		refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refusal
}

// contextRefusal returns the refusal of a call whose context ended, because its deadline
// passed or its caller disconnected.
func contextRefusal(ctx context.Context) *spoke.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return spoke.RefuseNotRun(spoke.CodeDeadline, "deadline passed")
	}
	return spoke.RefuseNotRun(spoke.CodeCancelled, "caller went away")
}

// failureRefusal returns the refusal of a call whose last attempt failed and may have run.
func failureRefusal(err error) *spoke.Refusal {
	var refusal *spoke.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return spoke.RefuseUnknown(spoke.CodeUpstreamFailed, "the attempt failed after it may have run: %s", err)
}
