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

	// ClaimID identifies a claim; keys of different workspaces never meet.
	ClaimID struct {
		Workspace WorkspaceID
		Service   ServiceName
		Key       IdempotencyKey
	}

	// ClaimRequest asks for the right to run a non-repeatable request.
	ClaimRequest struct {
		ID      ClaimID
		Content Fingerprint
		Attempt AttemptID
		Host    HostID
	}

	// ClaimRecord is what the key-value service holds for a claim.
	ClaimRecord struct {
		ClaimRequest
		State ClaimState
		// Answer is the recorded answer of a done claim; nil if it was too large to keep.
		Answer *PlainAnswer
	}

	// Claims guards non-repeatable requests by compare-and-swap in the key-value service.
	Claims interface {
		// Claim returns true if the attempt holds the claim, else the record that stands;
		// an error means that the attempt must not run.
		Claim(ctx context.Context, request ClaimRequest) (bool, ClaimRecord, error)
		// Finish records that the attempt's request has run.
		Finish(ctx context.Context, request ClaimRequest, answer PlainAnswer) error
		// Release withdraws the claim of an attempt that certainly did not run.
		Release(ctx context.Context, request ClaimRequest) error
	}
)
