package edge

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke/place"
	"magnoliaspoke.example/spoke/timer"
)

const (
	// unreadyDelay is the time within which the platform detects that this host is not ready and stops
	// sending new connections.
	unreadyDelay = 2500 * time.Millisecond
	// stopMargin is the part of the grace period that is reserved for the end of the process.
	stopMargin = 900 * time.Millisecond
	// answerMargin is the time between the end of the calls under way and the close of their connections, in
	// which their answers are written.
	answerMargin = 250 * time.Millisecond
	// estimateTime is the time after the signal within which an estimate may decide that a call is accepted: a caller
	// that sends it 3 s after the signal or later gets a whole answer or a refusal.
	estimateTime = 2800 * time.Millisecond
	// signalInterval is the interval of the looks that bound when the signal was sent.
	signalInterval = 25 * time.Millisecond
	// withdrawTimeout bounds the withdrawal of the announcement, within that part.
	withdrawTimeout = 300 * time.Millisecond
)

// errStopped ends the tasks after a graceful stop.
var errStopped = errors.New("stopped")

// awaitStop waits for signals: SIGHUP is only logged, any other signal stops the host once its calls have
// ended.
func (h *Host) awaitStop(ctx context.Context, signals <-chan os.Signal, callers *callerServer) error {
	var sent place.SignalTime
	sent.NoneAt(time.Now())
	for {
		look := h.deps.Timer.After(signalInterval)
		select {
		case received := <-signals:
			look.Stop()
			if received == syscall.SIGHUP {
				h.reload()
				continue
			}
			now := time.Now()
			earliest := sent.Earliest(now)
			h.deps.Log.WithFields(logrus.Fields{"signal": received.String(), "late": now.Sub(earliest).String()}).Info("stopping")
			return h.stop(ctx, callers, earliest)
		case <-look.C():
			sent.NoneAt(time.Now())
		case <-ctx.Done():
			look.Stop()
			return ctx.Err()
		}
	}
}

// stop takes the host out of service and waits for the calls in flight. The signal was sent at the given time or later.
func (h *Host) stop(ctx context.Context, callers *callerServer, sent time.Time) error {
	begun := time.Now()
	h.isLeaving.Store(true)
	deadline := begun.Add(h.settings.StopGrace - stopMargin)
	times := stopTimes{begun: begun, estimatesUntil: begun.Add(unreadyDelay), endsAt: deadline.Add(-answerMargin)}
	if end := sent.Add(estimateTime); end.Before(times.estimatesUntil) {
		times.estimatesUntil = end
	}
	h.relayer.stop.Store(&times)
	end := time.AfterFunc(time.Until(times.endsAt), h.relayer.requests.End)
	defer end.Stop()
	detoursEnded := h.drainDetours(ctx, deadline)
	timer.Wait(ctx, h.deps.Timer, min(unreadyDelay, time.Until(deadline)))
	if err := callers.stop(ctx, deadline); err != nil {
		h.deps.Log.WithError(err).Warn("calls under way are cut off")
	}
	<-detoursEnded
	cutOff := h.relayer.underWay.list()
	h.logCutOff(cutOff)
	h.deps.Log.WithFields(logrus.Fields{"cut-off": len(cutOff), "took": time.Since(begun).String()}).Info("stopped")
	h.withdraw(ctx)
	return errStopped
}

// drainDetours refuses further connections of other hosts to upstreams, and waits until those that it relays have ended.
func (h *Host) drainDetours(ctx context.Context, deadline time.Time) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		open := h.detours.Open()
		if err := h.detours.Drain(ctx); err != nil {
			h.deps.Log.WithError(err).WithField("open", open).Warn("connections of other hosts are cut off")
		}
	}()
	return ended
}

// logCutOff logs the calls that get no final answer because the process ends.
func (h *Host) logCutOff(calls []callState) {
	for _, call := range calls {
		h.deps.Log.WithFields(logrus.Fields{
			"request-id": call.request, "route": call.route, "stage": call.stage, "held": time.Since(call.arrived).String(),
		}).Warn("call cut off")
	}
}

// withdraw removes the announcement of this host; if the store is slow, the announcement expires.
func (h *Host) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- h.deps.Directory.Withdraw(ctx) }()
	select {
	case err := <-done:
		if err != nil {
			h.deps.Log.WithError(err).Info("announcement not withdrawn; it will expire")
		}
	case <-ctx.Done():
		// A renewal in flight may delay the withdrawal.
		h.deps.Log.WithField("waited", withdrawTimeout.String()).Info("announcement not withdrawn; it will expire")
	}
}

// reload logs that the settings changed; changed settings take effect at the next start.
func (h *Host) reload() {
	h.deps.Log.Info("settings changed; they take effect at the next start")
}
