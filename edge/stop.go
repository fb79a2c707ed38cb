package edge

import (
	"context"
	"errors"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke/timer"
)

const (
	// unreadyTime is the time in which the platform learns that this host takes no new connections.
	unreadyTime = 2500 * time.Millisecond
	// stopMargin is the part of the grace that is left for the end of the process.
	stopMargin = 900 * time.Millisecond
	// withdrawTime bounds the withdrawal of the announcement inside that part.
	withdrawTime = 300 * time.Millisecond
)

// errStopped ends the tasks after a graceful stop.
var errStopped = errors.New("stopped")

// stopOn waits for signals: a hang-up is noted, all others stop the host once its
// calls have ended.
func (h *Host) stopOn(ctx context.Context, signals <-chan os.Signal, callers *http.Server) error {
	for {
		select {
		case received := <-signals:
			if received == syscall.SIGHUP {
				h.reload()
				continue
			}
			h.parts.Log.WithField("signal", received.String()).Info("stopping")
			return h.stop(ctx, callers)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// stop takes the host out of service and waits for its calls.
func (h *Host) stop(ctx context.Context, callers *http.Server) error {
	begun := time.Now()
	h.isLeaving.Store(true)
	limit := begun.Add(h.settings.StopGrace - stopMargin)
	h.relayer.stopAt.Store(&limit)
	timer.Wait(ctx, h.parts.Timer, min(unreadyTime, time.Until(limit)))
	// The server ends only when no request that it has read is without its answer; one that
	// arrives between a look at the calls under way and the end would be cut off.
	ending, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	if err := callers.Shutdown(ending); err != nil {
		h.parts.Log.WithError(err).Warn("calls under way are cut off")
	}
	h.parts.Log.WithFields(logrus.Fields{"cut-off": h.relayer.underway.Load(), "took": time.Since(begun).String()}).Info("stopped")
	h.withdraw(ctx)
	return errStopped
}

// withdraw removes the announcement of this host, which expires by itself if the store is slow.
func (h *Host) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTime)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- h.parts.Directory.Withdraw(ctx) }()
	select {
	case err := <-done:
		if err != nil {
			h.parts.Log.WithError(err).Info("announcement not withdrawn, it expires")
		}
	case <-ctx.Done():
		// A renewal that is under way may hold the withdrawal up.
		h.parts.Log.WithField("waited", withdrawTime.String()).Info("announcement not withdrawn, it expires")
	}
}

// reload notes that the settings changed; what they hold is taken from the next start on.
func (h *Host) reload() {
	h.parts.Log.Info("settings changed, the next start takes them")
}
