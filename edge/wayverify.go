package edge

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

// verify reports whether this host has reached an upstream directly since a failure, so that the failure was not that of
// its own ways. It reports true if there are too few upstreams to compare. Failures at the same time share one round of
// probes.
func (w *ways) verify(ctx context.Context, since time.Time) bool {
	w.verifying.Lock()
	defer w.verifying.Unlock()
	begun := w.now()
	ids, isVerified := w.toVerify(since)
	if len(ids) == 0 {
		return isVerified
	}
	results := make(chan bool, len(ids))
	for _, id := range ids {
		go func() { results <- w.probeDirect(ctx, id) }()
	}
	for range ids {
		if <-results {
			return true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failedAt = begun
	return false
}

// toVerify returns the upstreams to probe, or without any, what is known.
func (w *ways) toVerify(since time.Time) (ids []spoke.UpstreamID, isVerified bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.connectedAt.After(since) {
		return nil, true
	}
	if w.state.IsCutOff() || w.failedAt.After(since) {
		return nil, false
	}
	return w.state.Verify(w.now()), true
}

// dialForOthers connects to an upstream for another host. A refusal only counts as that of the upstream while this host
// reaches others, since its own way may be lost.
func (w *ways) dialForOthers(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	begun := w.now()
	conn, err := w.direct(ctx, network, address)
	if err == nil {
		w.mu.Lock()
		listed := w.byAddress[spoke.Address(address)]
		w.mu.Unlock()
		if listed != nil {
			w.connected(listed.id, begun)
		}
		return conn, nil
	}
	if errors.Is(err, syscall.ECONNREFUSED) && !w.hasHeardSince(begun.Add(-recentlyHeard)) && !w.verify(ctx, begun) {
		return nil, eris.Wrap(errWayLost, err.Error())
	}
	return nil, err
}

// hasHeardSince reports whether an upstream has sent a byte on a direct connection since a time.
func (w *ways) hasHeardSince(since time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, listed := range w.byAddress {
		if listed.activity.of(listed.id).HeardAt.After(since) {
			return true
		}
	}
	return false
}
