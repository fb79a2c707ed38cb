package edge

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke/place"
)

// probeTimeout bounds the connection attempt that shows whether an upstream can be reached.
const probeTimeout = 250 * time.Millisecond

// isCrash reports whether the upstream crashed during the attempt. An attempt that was cancelled shows
// nothing of its upstream. Behind the end of an answer that needed evidence, that counts: an upstream which has
// started again accepts connections, one that leaves ends as planned, and a machine that is out of reach may run. Nor does
// a failure show a crash while this host reaches no upstream at all.
func (a *attempt) isCrash(ctx context.Context) bool {
	if a.ending != place.EndBroken || ctx.Err() != nil {
		return false
	}
	failedAt := time.Now()
	isDead := a.isDead
	if a.evidence != "" {
		isDead = func() bool { return a.evidence.IsDeath() && !a.isLeaving() }
	}
	return isDead() && a.ways.verify(context.Background(), failedAt)
}

// isLeaving reports whether the upstream has announced that it leaves, or is no longer listed.
func (a *attempt) isLeaving() bool {
	return a.head.IsLeaving || !a.listed.isStaying(a.grant.Upstream.ID)
}

// isDead reports whether the upstream no longer accepts connections. That this host does not reach it does not show that.
func (a *attempt) isDead() bool {
	err := a.ways.probe(context.Background(), a.grant.Upstream.Address)
	return err != nil && !errors.Is(err, errWayLost)
}

// endFingerprint records the end of the attempt for the quarantine of its request.
func (a *attempt) endFingerprint(isCrash bool) {
	if a.ending == place.EndServed {
		a.quarantine.registry.EndServed(time.Now(), a.id)
		return
	}
	a.quarantine.registry.End(time.Now(), a.id, isCrash)
}

// logCrash logs and counts a crash of the upstream that ran the attempt.
func (a *attempt) logCrash(sentAt time.Time) {
	a.metrics.addCrash()
	a.log.WithFields(logrus.Fields{
		"upstream": a.grant.Upstream.ID, "started": a.grant.Upstream.Started.UTC(), "has-begun": a.hasBegun, "parts": len(a.call.Prompt.Parts),
		"route": a.route.Name, "fingerprint": a.fingerprint, "attempt": a.progress.sendCount, "ran": time.Since(sentAt).String(),
	}).Warn("upstream crashed during an attempt")
}
