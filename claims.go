package spoke

import (
	"context"
)

const (
	// ClaimHeld is the state of a claim whose request may be running.
	ClaimHeld ClaimState = "held"
	// ClaimDone is the state of a claim whose request has finished.
	ClaimDone ClaimState = "done"
)

type (
	// ClaimState is the state of an idempotency key.
	ClaimState string

	// ClaimID identifies a claim; equal keys of different workspaces are different claims.
	ClaimID struct {
		Workspace WorkspaceID
		Service   ServiceName
		Key       IdempotencyKey
	}

	// ClaimRequest requests the exclusive right to run a non-repeatable request.
	ClaimRequest struct {
		ID      ClaimID
		Content Fingerprint
		Attempt AttemptID
		Host    HostID
	}

	// ClaimRecord is the record of a claim in the key-value service.
	ClaimRecord struct {
		ClaimRequest
		State ClaimState
		// Answer is the recorded answer of a done claim; nil if it was too large to record.
		Answer *PlainAnswer
	}

	// Claims ensures by compare-and-swap in the key-value service that non-repeatable requests
	// run at most once.
	Claims interface {
		// Claim returns true if the attempt holds the claim, else the existing record; after an
		// error the attempt must not run.
		Claim(ctx context.Context, request ClaimRequest) (bool, ClaimRecord, error)
		// Finish records that the attempt's request has run.
		Finish(ctx context.Context, request ClaimRequest, answer PlainAnswer) error
		// Release deletes the claim of an attempt that definitely did not run.
		Release(ctx context.Context, request ClaimRequest) error
	}
)
