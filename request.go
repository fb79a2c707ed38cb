package spoke

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// OutcomeNotRun states that no upstream ran any part of the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown states that an upstream may have run the request.
	OutcomeUnknown Outcome = "outcome-unknown"

	// CodeBadRequest refuses malformed input.
	CodeBadRequest RefusalCode = "bad-request"
	// CodeTooLarge refuses a body or header above its limit.
	CodeTooLarge RefusalCode = "too-large"
	// CodeUnauthorized refuses an unknown API key.
	CodeUnauthorized RefusalCode = "unauthorized"
	// CodeForbidden refuses a service that the workspace may not use.
	CodeForbidden RefusalCode = "forbidden"
	// CodeNotFound refuses an unknown service, model or rank.
	CodeNotFound RefusalCode = "not-found"
	// CodeOverloaded refuses work that cannot meet its rank's target.
	CodeOverloaded RefusalCode = "overloaded"
	// CodeWorkspaceLimit refuses work above the workspace's own limit.
	CodeWorkspaceLimit RefusalCode = "workspace-limit"
	// CodeNoUpstream refuses work for which no upstream is in reach.
	CodeNoUpstream RefusalCode = "no-upstream"
	// CodeQuarantined refuses a request that crashed the upstreams which ran it.
	CodeQuarantined RefusalCode = "quarantined"
	// CodeNotReady refuses work before a configuration is in force or while the host stops.
	CodeNotReady RefusalCode = "not-ready"
	// CodePlatformUnavailable refuses a non-repeatable request whose claim cannot be made.
	CodePlatformUnavailable RefusalCode = "platform-unavailable"
	// CodeAlreadyRun answers a repeat of a finished key without recorded answer.
	CodeAlreadyRun RefusalCode = "already-run"
	// CodeInProgress answers a repeat of a key whose request still runs.
	CodeInProgress RefusalCode = "in-progress"
	// CodeKeyConflict refuses an idempotency key used with other content.
	CodeKeyConflict RefusalCode = "key-conflict"
	// CodeUpstreamFailed reports that attempts failed after work may have run.
	CodeUpstreamFailed RefusalCode = "upstream-failed"
	// CodeDeadline reports that the caller's deadline passed.
	CodeDeadline RefusalCode = "deadline-exceeded"
	// CodeCancelled reports that the caller went away.
	CodeCancelled RefusalCode = "cancelled"

	// FinishStop marks an answer that the model ended.
	FinishStop FinishReason = "stop"
	// FinishLength marks an answer that reached its token limit.
	FinishLength FinishReason = "length"
)

type (
	// Outcome says whether a refused request may have run.
	Outcome string
	// RefusalCode names the reason of a refusal.
	RefusalCode string
	// FinishReason says why an answer ended.
	FinishReason string

	// Refusal is the final answer to a request that is not served.
	Refusal struct {
		Code    RefusalCode
		Outcome Outcome
		Message string
		// Param names the offending field of the request, if any.
		Param string
		// RetryAfter tells the caller when to come back; zero means that a retry is no use.
		RetryAfter time.Duration
		Request    RequestID
	}

	// Request is a caller's language request after authentication and lookup.
	Request struct {
		ID        RequestID
		Workspace WorkspaceID
		Service   ServiceName
		Model     ModelName
		Adapter   AdapterName
		Rank      RankName
		Prompt    string
		MaxTokens TokenCount
		// Deadline is the caller's limit; the zero time means none.
		Deadline time.Time
		Received time.Time
	}

	// ServiceCall is a caller's call of a plain service after authentication and lookup.
	ServiceCall struct {
		ID        RequestID
		Workspace WorkspaceID
		Service   ServiceName
		Rank      RankName
		Method    string
		// Path starts with a slash and may carry a query.
		Path   string
		Header http.Header
		Body   []byte
		// Key is the caller's idempotency key; it may be empty.
		Key IdempotencyKey
		// Deadline is the caller's limit; the zero time means none.
		Deadline time.Time
		Received time.Time
	}

	// Backend serves authenticated requests; its errors and those of its streams are a *Refusal.
	Backend interface {
		// Complete starts a language request, which ends with ctx or with the stream's Close.
		// Pieces without tokens and without Finish are heartbeats.
		Complete(ctx context.Context, request Request) (RunStream, error)
		// Call makes a call of a plain service.
		Call(ctx context.Context, call ServiceCall) (PlainAnswer, error)
	}

	// Usage counts the tokens of one run.
	Usage struct {
		Prompt     TokenCount
		Completion TokenCount
		// Cached is the part of Prompt that was served from the prefix cache.
		Cached TokenCount
	}

	// Piece is a part of a streamed answer.
	Piece struct {
		Attempt AttemptID
		Version ModelVersion
		// Offset is the index of the piece's first token in the answer.
		Offset TokenCount
		Tokens TokenCount
		Text   string
		// Finish is set on the last piece only.
		Finish FinishReason
		// Usage is set on the last piece only.
		Usage Usage
	}
)

// Error returns the code, the outcome and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// Fingerprint identifies the workspace and the content of the request. The token
// limit is left out, because a prompt that crashes an upstream does so with any limit.
func (r Request) Fingerprint() Fingerprint {
	hash := sha256.New()
	for _, part := range []string{string(r.Workspace), string(r.Service), string(r.Model), string(r.Adapter)} {
		// Writes to a hash never fail; lengths keep the parts apart.
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	_, _ = io.WriteString(hash, r.Prompt)
	return Fingerprint(hex.EncodeToString(hash.Sum(nil)))
}

// NotRun returns a refusal of a request that nothing has run.
func RefuseNotRun(code RefusalCode, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: OutcomeNotRun, Message: fmt.Sprintf(format, args...)}
}

// Unknown returns a refusal of a request that an upstream may have run.
func RefuseUnknown(code RefusalCode, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: OutcomeUnknown, Message: fmt.Sprintf(format, args...)}
}
