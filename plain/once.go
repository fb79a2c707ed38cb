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
	// updateTries bounds how often a claim update is sent. A claim that stays held
	// is safe: repeats get in-progress until it expires.
	updateTries = 8
	// updateBackoff is the pause after the first failed claim update; it doubles
	// each time, which covers an outage of the platform of about a minute.
	updateBackoff = 500 * time.Millisecond
)

// outcome is the result of the only attempt of a call.
type outcome struct {
	answer  spoke.PlainAnswer
	refusal *spoke.Refusal
}

// once makes the only attempt of a non-repeatable call without a key.
func (j *job) once(ctx context.Context, upstream spoke.UpstreamID) (spoke.PlainAnswer, *spoke.Refusal) {
	limited, cancel := context.WithTimeout(ctx, j.onceTimeout)
	defer cancel()
	answer, err := j.send(limited, j.dispatch(upstream, true))
	if refusal := notRun(answer, err); refusal != nil {
		return spoke.PlainAnswer{}, hinted(refusal)
	}
	j.ran = true
	switch {
	case err == nil:
		return answer, nil
	case ctx.Err() != nil:
		return spoke.PlainAnswer{}, interrupted(ctx)
	}
	return spoke.PlainAnswer{}, failed(err)
}

// claimed makes the only attempt of a call with a key under its claim.
func (j *job) claimed(ctx context.Context, upstream spoke.UpstreamID) (spoke.PlainAnswer, *spoke.Refusal) {
	claim := j.claimRequest()
	limited, cancel := context.WithTimeout(ctx, claimTimeout)
	held, record, err := j.parts.Claims.Claim(limited, claim)
	cancel()
	if err != nil {
		// The claim may have taken effect although its answer was lost.
		j.inBackground(func() { j.update(claim, "release", j.parts.Claims.Release) })
		refusal := spoke.RefuseNotRun(spoke.CodePlatformUnavailable, "the idempotency key cannot be claimed: %s", err)
		return spoke.PlainAnswer{}, hinted(refusal)
	}
	if !held {
		return j.replay(claim, record)
	}
	if ctx.Err() != nil {
		j.inBackground(func() { j.update(claim, "release", j.parts.Claims.Release) })
		return spoke.PlainAnswer{}, interrupted(ctx)
	}
	return j.runClaimed(ctx, claim, upstream)
}

// runClaimed runs the call to its end even if the caller leaves, so that a
// repeat of the key finds the recorded answer.
func (j *job) runClaimed(ctx context.Context, claim spoke.ClaimRequest, upstream spoke.UpstreamID) (spoke.PlainAnswer, *spoke.Refusal) {
	dispatch := j.dispatch(upstream, true)
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), j.onceTimeout)
	done := make(chan outcome, 1)
	j.inBackground(func() {
		defer cancel()
		answer, err := j.send(detached, dispatch)
		j.conclude(claim, answer, err, done)
	})
	select {
	case result := <-done:
		j.ran = result.refusal == nil || result.refusal.Outcome != spoke.OutcomeNotRun
		return result.answer, result.refusal
	case <-ctx.Done():
		j.ran = true
		return spoke.PlainAnswer{}, interrupted(ctx)
	}
}

// conclude brings the claim up to date and gives the result. The result waits
// for the first update, so that a repeat after the answer finds the record.
func (j *job) conclude(claim spoke.ClaimRequest, answer spoke.PlainAnswer, err error, done chan<- outcome) {
	if refusal := notRun(answer, err); refusal != nil {
		j.updateThen(claim, "release", j.parts.Claims.Release, func() { done <- outcome{refusal: hinted(refusal)} })
		return
	}
	result := outcome{answer: answer}
	if err != nil {
		// Without a record of the lost answer, repeats would be told to come back until
		// the claim expires.
		answer, result = spoke.PlainAnswer{}, outcome{refusal: failed(err)}
	}
	finish := func(ctx context.Context, claim spoke.ClaimRequest) error {
		return j.parts.Claims.Finish(ctx, claim, answer)
	}
	j.updateThen(claim, "finish", finish, func() { done <- result })
}

func (j *job) update(claim spoke.ClaimRequest, name string, send func(context.Context, spoke.ClaimRequest) error) {
	j.updateThen(claim, name, send, func() {})
}

// updateThen sends a claim update until it succeeds; then runs after the first try.
func (j *job) updateThen(claim spoke.ClaimRequest, name string, send func(context.Context, spoke.ClaimRequest) error, then func()) {
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
		if try == updateTries {
			j.log.WithError(err).WithField("request-id", claim.Attempt).Warnf("claim update %s given up after %d tries", name, try)
			return
		}
		wait := j.parts.Timer.After(backoff)
		<-wait.C()
		backoff *= 2
	}
}

// replay answers a repeat of a key from the claim that stands.
func (j *job) replay(claim spoke.ClaimRequest, record spoke.ClaimRecord) (spoke.PlainAnswer, *spoke.Refusal) {
	switch {
	case record.Content != claim.Content:
		return spoke.PlainAnswer{}, spoke.RefuseNotRun(spoke.CodeKeyConflict, "the idempotency key was used with other content")
	case record.State != spoke.ClaimDone:
		return spoke.PlainAnswer{}, hinted(spoke.RefuseUnknown(spoke.CodeInProgress, "a request with the same idempotency key is in progress"))
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
		Content: j.content,
		Attempt: j.attemptID(1),
		Host:    j.host,
	}
}

func (j *job) inBackground(work func()) {
	j.background.Go(work)
}

// contentOf identifies what a call asks for; lengths keep its parts apart.
func contentOf(call spoke.ServiceCall) spoke.Fingerprint {
	hash := sha256.New()
	for _, part := range []string{string(call.Workspace), string(call.Service), call.Method, call.Path} {
		// Writes to a hash never fail.
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	_, _ = hash.Write(call.Body)
	return spoke.Fingerprint(hex.EncodeToString(hash.Sum(nil)))
}
