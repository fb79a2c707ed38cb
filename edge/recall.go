package edge

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
)

// recallError is the cause with which an attempt on outdated weights is cancelled; it wraps errOutdatedWeights.
type recallError struct {
	// silence is the time since the upstream was last heard.
	silence time.Duration
}

// Error returns the message of errOutdatedWeights.
func (*recallError) Error() string { return errOutdatedWeights.Error() }

// Unwrap returns errOutdatedWeights.
func (*recallError) Unwrap() error { return errOutdatedWeights }

// logRecalled logs that an attempt was recalled, and whether its upstream was silent then.
func (a *attempt) logRecalled(ctx context.Context) {
	var recalled *recallError
	if !errors.As(context.Cause(ctx), &recalled) {
		return
	}
	a.log.WithFields(logrus.Fields{
		"upstream": a.grant.Upstream.ID, "weights": a.grant.Weights, "sent-for": time.Since(a.sentAt).String(),
		"upstream-silent": recalled.silence.String(), "has-begun": a.hasBegun,
	}).Warn("call recalled")
}
