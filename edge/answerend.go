package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke/link"
	"magnoliaspoke.example/spoke/place"
)

const (
	// maxIdentityBytes bounds the body of an answer about the upstream at an address.
	maxIdentityBytes = 64 << 10
	// otherRunsInterval is the time between two looks at the other calls at an upstream.
	otherRunsInterval = 20 * time.Millisecond
)

// errUnconfirmedEnd reports an answer that ended with its connection and that nothing shows to be whole.
var errUnconfirmedEnd = errors.New("nothing confirms that an answer with neither a length nor chunks is whole")

// confirmEnd returns an error unless the answer, which was read to its end, is whole. events is the number of events of
// its stream. An answer that ends with its connection needs evidence that its upstream has not ended meanwhile.
func (a *attempt) confirmEnd(ctx context.Context, answer *link.Response, events int) error {
	if !answer.EndsWithConnection || a.call.Method == http.MethodHead {
		return nil
	}
	a.endedAt = time.Now()
	// The answer is over, so that its upstream is not silent while its end is checked.
	a.endWatch()
	a.evidence = place.EndAtLimit
	if !a.isAtLimit(events) {
		a.evidence = a.checkEnd(ctx)
	}
	if a.evidence.IsWhole() {
		return nil
	}
	if ctx.Err() == nil {
		a.metrics.addUnconfirmedEnd()
	}
	return errUnconfirmedEnd
}

// checkEnd asks who runs at the address of the upstream until that is known or the time for it is over. If the address
// refuses connections, the upstream may have exited behind its last answer, or may accept no new connections while it ends
// the others.
func (a *attempt) checkEnd(ctx context.Context) place.EndEvidence {
	removed, endWatch := a.listed.watchRemoval(a.grant.Upstream.ID)
	defer endWatch()
	signs := place.ExitSigns{
		IsStaying:  !a.isLeaving(),
		LeavingFor: a.listed.leavingFor(a.grant.Upstream.ID, a.endedAt), Notice: a.leaveNotice, LastBytesAt: a.answer.heardAt(), EndedAt: a.endedAt,
	}
	if !signs.IsStaying {
		a.planner.in <- schedulerMessage{message: place.AnswerEnded{Call: a.grant.Call}}
	}
	evidence := a.askUntilKnown(ctx)
	if evidence != place.EndUpstreamRefused {
		return evidence
	}
	ctx, cancel := context.WithDeadline(ctx, place.ExitKnownBy(a.endedAt, a.deadline))
	defer cancel()
	return a.awaitExit(ctx, signs, removed)
}

// awaitExit waits until it is known whether an upstream that refuses connections still ran behind the answer, or ctx ends.
func (a *attempt) awaitExit(ctx context.Context, signs place.ExitSigns, removed <-chan struct{}) place.EndEvidence {
	for {
		signs.IsRemoved = signs.IsRemoved || isClosed(removed)
		signs.HeardAt = a.heard.lastHeardElsewhere(a.grant.Upstream.ID, a.answer, a.endedAt)
		others, isKnown := a.planner.otherRuns(ctx, a.grant.Call, a.endedAt)
		if !isKnown {
			return place.EndUpstreamRefused
		}
		signs.Others = others
		evidence, isDecided := signs.Evidence()
		if isDecided || !waitUntil(ctx, time.Now().Add(otherRunsInterval)) {
			a.logExit(signs, evidence)
			return evidence
		}
	}
}

func (a *attempt) logExit(signs place.ExitSigns, evidence place.EndEvidence) {
	a.log.WithFields(logrus.Fields{
		"upstream": a.grant.Upstream.ID, "end-evidence": evidence, "leaving-for": signs.LeavingFor.String(),
		"pause": signs.EndedAt.Sub(signs.LastBytesAt).String(), "is-removed": signs.IsRemoved, "own-runs": signs.Others.Here,
		"other-runs": signs.Others.Elsewhere,
	}).Info("upstream refuses connections behind an answer")
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// askUntilKnown asks who runs at the address of the upstream.
func (a *attempt) askUntilKnown(ctx context.Context) place.EndEvidence {
	check := place.NewEndCheck(a.endedAt, a.deadline)
	askAt, evidence := check.FirstAt(), place.EndNothing
	for waitUntil(ctx, askAt) {
		evidence = a.askIdentity(ctx, check.TryTime(time.Now()))
		step := check.Tried(time.Now(), evidence)
		if step.IsDecided {
			break
		}
		askAt = step.AskAt
	}
	return evidence
}

// waitUntil waits for a time and reports whether ctx has not ended before.
func waitUntil(ctx context.Context, at time.Time) bool {
	pause := time.NewTimer(time.Until(at))
	defer pause.Stop()
	select {
	case <-pause.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// askIdentity asks once who runs at the address of the upstream.
func (a *attempt) askIdentity(ctx context.Context, limit time.Duration) place.EndEvidence {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	a.metrics.addEndCheck()
	upstream := a.grant.Upstream
	request := a.codec.EncodeIdentityRequest(upstream.ID)
	answer, err := a.pool.Do(ctx, link.Request{
		Address: upstream.Address, Method: request.Method, Target: request.Target, HostName: string(upstream.Address), Header: request.Header,
	}, func(_ int, header http.Header) bool { return a.codec.IsIdentityAnswer(header) })
	if errors.Is(err, syscall.ECONNREFUSED) {
		return place.EndUpstreamRefused
	}
	if err != nil {
		return place.EndNothing
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxIdentityBytes))
	identity := a.codec.DecodeIdentity(upstream.ID, answer.Status, answer.Header, body)
	if identity.IsOther {
		// A copy of this answer on the connection would look like that to the next call there.
		answer.Discard()
	}
	answer.Close(identity.IdleTimeout)
	if err != nil {
		return place.EndNothing
	}
	meant := place.EndOrigin{Started: upstream.Started, SentFor: time.Since(a.sentAt), MustReport: a.route.IsPrompt}
	return place.IdentityEvidence(meant, identity)
}

// evidenceFields returns what has shown whether the answer is whole, if it needed evidence.
func evidenceFields(evidence place.EndEvidence) logrus.Fields {
	if evidence == "" {
		return nil
	}
	return logrus.Fields{"end-evidence": evidence}
}
