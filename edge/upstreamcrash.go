package edge

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/dial"
	"magnoliaspoke.example/spoke/link"
	"magnoliaspoke.example/spoke/place"
)

// errUpstreamEnded reports an answer whose upstream ended with it, so that it may not be whole.
var errUpstreamEnded = errors.New("upstream ended with its answer, which has neither a length nor chunks")

const (
	// probeTimeout bounds the connection attempt that shows whether an upstream can be reached.
	probeTimeout = 250 * time.Millisecond
	// endProbeTime is the time within which the sockets of a process that ends are closed.
	endProbeTime = 10 * time.Millisecond
	// maxEndProbes bounds the connections that show whether a process has ended.
	maxEndProbes = 3
)

// isCrash reports whether the upstream crashed during the attempt. An attempt that was cancelled shows
// nothing of its upstream.
func (a *attempt) isCrash(ctx context.Context) bool {
	return a.ending == place.EndBroken && ctx.Err() == nil && a.isDead()
}

// isDead reports whether the upstream no longer accepts connections.
func (a *attempt) isDead() bool {
	return probe(context.Background(), a.grant.Upstream.Address) != nil
}

// probe returns why an upstream does not accept connections, nil if it does.
func probe(ctx context.Context, address spoke.Address) error {
	conn, err := dial.New(probeTimeout).DialContext(ctx, "tcp", string(address))
	if err != nil {
		return err
	}
	_ = conn.Close()
	return nil
}

// endsWithUpstream reports whether an answer that ended with its connection was cut short by the end of the upstream: the
// kernel closes the connections of a killed process in the regular way. An upstream that leaves ends behind its last
// answer, and one that cannot be reached may be cut off, so that only a refused connection counts.
func (a *attempt) endsWithUpstream(answer *link.Response) bool {
	if !answer.EndsWithConnection || a.head.IsLeaving || !a.listed.isStaying(a.grant.Upstream.ID) {
		return false
	}
	for range maxEndProbes {
		isClosed, err := probeUntilClosed(a.grant.Upstream.Address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		if !isClosed {
			return false
		}
	}
	return false
}

// probeUntilClosed connects to an upstream and reports whether it closes the connection soon: the listener of a process
// that ends may be closed after its connections, and resets those that it has not accepted.
func probeUntilClosed(address spoke.Address) (isClosed bool, err error) {
	conn, err := dial.New(probeTimeout).Dial("tcp", string(address))
	if err != nil {
		return false, err
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(endProbeTime))
	_, err = conn.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded), nil
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
