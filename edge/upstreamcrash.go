package edge

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke/place"
)

// probeTimeout bounds the connection attempt that distinguishes a dead upstream from a broken
// connection.
const probeTimeout = 250 * time.Millisecond

// isCrash reports whether the upstream crashed during the attempt. An attempt that was cancelled shows
// nothing of its upstream.
func (a *attempt) isCrash(ctx context.Context) bool {
	return a.ending == place.EndBroken && ctx.Err() == nil && a.isDead()
}

// isDead reports whether the upstream no longer accepts connections.
func (a *attempt) isDead() bool {
	probe, err := net.DialTimeout("tcp", string(a.grant.Upstream.Address), probeTimeout)
	if err != nil {
		return true
	}
	_ = probe.Close()
	return false
}

// logCrash logs and counts a crash of the upstream that ran the attempt.
func (a *attempt) logCrash(sentAt time.Time) {
	a.metrics.addCrash()
	a.log.WithFields(logrus.Fields{
		"upstream": a.grant.Upstream.ID, "started": a.grant.Upstream.Started.UTC(), "has-begun": a.hasBegun, "parts": len(a.call.Prompt.Parts),
		"route": a.route.Name, "fingerprint": a.fingerprint, "attempt": a.progress.sendCount, "ran": time.Since(sentAt).String(),
	}).Warn("upstream crashed during an attempt")
}
