package plain

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"magnoliaspoke.example/spoke"
)

// notRun returns the refusal of an attempt that certainly did not run, else nil.
func notRun(answer spoke.PlainAnswer, err error) *spoke.Refusal {
	if err == nil {
		return refusedAnswer(answer)
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
			refusal.RetryAfter = defaultHint
			return refusal
		}
	}
	return nil
}

// refusedAnswer reads the answer of a service that refused before running.
func refusedAnswer(answer spoke.PlainAnswer) *spoke.Refusal {
	if answer.Status != http.StatusServiceUnavailable || answer.Header.Get("X-Not-Run") != "true" {
		return nil
	}
	refusal := spoke.RefuseNotRun(spoke.CodeOverloaded, "the service refused before running")
	refusal.RetryAfter = defaultHint
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil && seconds > 0 {
		refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refusal
}

// interrupted returns the refusal of a call whose caller left or whose deadline passed.
func interrupted(ctx context.Context) *spoke.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return spoke.RefuseNotRun(spoke.CodeDeadline, "deadline passed")
	}
	return spoke.RefuseNotRun(spoke.CodeCancelled, "caller went away")
}

// failed returns the refusal of a call whose last attempt may have run.
func failed(err error) *spoke.Refusal {
	var refusal *spoke.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return spoke.RefuseUnknown(spoke.CodeUpstreamFailed, "the attempt failed after it may have run: %s", err)
}
