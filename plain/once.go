package plain

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// maxUpdateTries bounds the attempts of a claim update. A claim that stays held is
	// safe: repeats of the call are refused as in progress until it expires.
	maxUpdateTries = 8
	// updateBackoff is the backoff after the first failed claim update. It doubles with
	// each try, so that the tries cover a platform outage of about a minute.
	updateBackoff = 500 * time.Millisecond
)

// callResult is the result of the only attempt of a call.
type callResult struct {
	answer  spoke.PlainAnswer
	refusal *spoke.Refusal
}

// callOnce makes the only attempt of a non-repeatable call without an idempotency key.
func (j *job) callOnce(ctx context.Context, upstream spoke.UpstreamID) (spoke.PlainAnswer, *spoke.Refusal) {
	limited, cancel := context.WithTimeout(ctx, j.onceTimeout)
	defer cancel()
	answer, err := j.send(limited, j.nextDispatch(upstream, true))
	if refusal := notRunRefusal(answer, err); refusal != nil {
		return spoke.PlainAnswer{}, withRetryAfter(refusal)
	}
	j.mayHaveRun = true
	switch {
	case err == nil:
		return answer, nil
	case ctx.Err() != nil:
		return spoke.PlainAnswer{}, contextRefusal(ctx)
	}
	return spoke.PlainAnswer{}, failureRefusal(err)
}

// callWithClaim claims the idempotency key of a call and makes its only attempt, or replays
// the recorded answer if the key is already claimed.
func (j *job) callWithClaim(ctx context.Context, upstream spoke.UpstreamID) (spoke.PlainAnswer, *spoke.Refusal) {
	claim := j.claimRequest()
	limited, cancel := context.WithTimeout(ctx, claimTimeout)
	held, record, err := j.deps.Claims.Claim(limited, claim)
	cancel()
	if err != nil {
		// The claim may have been written although the response was lost.
		j.inBackground(func() { j.updateClaim(claim, "release", j.deps.Claims.Release) })
		refusal := spoke.RefuseNotRun(spoke.CodePlatformUnavailable, "the idempotency key cannot be claimed: %s", err)
		return spoke.PlainAnswer{}, withRetryAfter(refusal)
	}
	if !held {
		return j.replay(claim, record)
	}
	if ctx.Err() != nil {
		j.inBackground(func() { j.updateClaim(claim, "release", j.deps.Claims.Release) })
		return spoke.PlainAnswer{}, contextRefusal(ctx)
	}
	return j.runClaimed(ctx, claim, upstream)
}

// runClaimed makes the attempt and lets it finish even if the caller disconnects, so that a
// repeat of the key finds the recorded answer.
func (j *job) runClaimed(ctx context.Context, claim spoke.ClaimRequest, upstream spoke.UpstreamID) (spoke.PlainAnswer, *spoke.Refusal) {
	dispatch := j.nextDispatch(upstream, true)
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), j.onceTimeout)
	done := make(chan callResult, 1)
	j.inBackground(func() {
		defer cancel()
		answer, err := j.send(detached, dispatch)
		j.recordOutcome(claim, answer, err, done)
	})
	select {
	case result := <-done:
		j.mayHaveRun = result.refusal == nil || result.refusal.Outcome != spoke.OutcomeNotRun
		return result.answer, result.refusal
	case <-ctx.Done():
		j.mayHaveRun = true
		return spoke.PlainAnswer{}, contextRefusal(ctx)
	}
}

// recordOutcome updates the claim and sends the result on done. It sends the result only
// after the first try of the update, so that a repeat that follows the answer finds the
// record.
func (j *job) recordOutcome(claim spoke.ClaimRequest, answer spoke.PlainAnswer, err error, done chan<- callResult) {
	if refusal := notRunRefusal(answer, err); refusal != nil {
		j.updateClaimThen(claim, "release", j.deps.Claims.Release, func() { done <- callResult{refusal: withRetryAfter(refusal)} })
		return
	}
	result := callResult{answer: answer}
	if err != nil {
		// An empty answer records that the answer was lost. Without it, repeats would be
		// refused as in progress until the claim expires.
		answer, result = spoke.PlainAnswer{}, callResult{refusal: failureRefusal(err)}
	}
	finish := func(ctx context.Context, claim spoke.ClaimRequest) error {
		return j.deps.Claims.Finish(ctx, claim, answer)
	}
	j.updateClaimThen(claim, "finish", finish, func() { done <- result })
}

// updateClaim is updateClaimThen without a callback.
func (j *job) updateClaim(claim spoke.ClaimRequest, name string, send func(context.Context, spoke.ClaimRequest) error) {
	j.updateClaimThen(claim, name, send, func() {})
}

// updateClaimThen sends a claim update until it succeeds or maxUpdateTries is reached. It
// calls then after the first try, whether or not that succeeded.
func (j *job) updateClaimThen(claim spoke.ClaimRequest, name string, send func(context.Context, spoke.ClaimRequest) error, then func()) {
	backoff := updateBackoff
	for try := 1; ; try++ {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		err := send(ctx, claim)
		cancel()
		if try == 1 {
			then()
		}
		if err == nil {
			return
		}
		if try == maxUpdateTries {
			j.log.WithError(err).WithField("request-id", claim.Attempt).Warnf("claim update %s abandoned after %d tries", name, try)
			return
		}
		wait := j.deps.Timer.After(backoff)
		<-wait.C()
		backoff *= 2
	}
}

// replay answers a call whose idempotency key is already claimed: with the recorded answer,
// or with a refusal if the content differs or no answer is recorded.
func (j *job) replay(claim spoke.ClaimRequest, record spoke.ClaimRecord) (spoke.PlainAnswer, *spoke.Refusal) {
	switch {
	case record.Content != claim.Content:
		return spoke.PlainAnswer{}, spoke.RefuseNotRun(spoke.CodeKeyConflict, "the idempotency key was used with other content")
	case record.State != spoke.ClaimDone:
		return spoke.PlainAnswer{}, withRetryAfter(spoke.RefuseUnknown(spoke.CodeInProgress, "a request with the same idempotency key is in progress"))
	case record.Answer == nil:
		return spoke.PlainAnswer{}, spoke.RefuseUnknown(spoke.CodeAlreadyRun, "the request with this idempotency key has run; its answer was not recorded")
	case record.Answer.Status == 0:
		return spoke.PlainAnswer{}, spoke.RefuseUnknown(spoke.CodeAlreadyRun, "the answer to the request with this idempotency key was lost after it may have run")
	}
	answer := *record.Answer
	answer.Header = answer.Header.Clone()
	if answer.Header == nil {
		answer.Header = make(map[string][]string)
	}
	answer.Header.Set("X-Spoke-Replayed", "true")
	return answer, nil
}

func (j *job) claimRequest() spoke.ClaimRequest {
	return spoke.ClaimRequest{
		ID:      spoke.ClaimID{Workspace: j.call.Workspace, Service: j.call.Service, Key: j.call.Key},
		Content: j.fingerprint,
		Attempt: j.attemptID(1),
		Host:    j.host,
	}
}

func (j *job) inBackground(work func()) {
	j.background.Go(work)
}

// fingerprintOf returns a hash of the content of a call. Each part is preceded by its
// length, so that different splits of the same text have different hashes.
func fingerprintOf(call spoke.ServiceCall) spoke.Fingerprint {
	hash := sha256.New()
	for _, part := range []string{string(call.Workspace), string(call.Service), call.Method, call.Path} {
		// hash.Hash.Write never returns an error.
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	_, _ = hash.Write(call.Body)
	return spoke.Fingerprint(hex.EncodeToString(hash.Sum(nil)))
}
