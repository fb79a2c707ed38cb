package wire

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"magnoliaspoke.example/spoke"
)

const (
	frameHeartbeat = "heartbeat"
	framePiece     = "piece"
	frameEnd       = "end"
	frameRefusal   = "refusal"
	frameFailure   = "failure"

	failureDied      = "upstream-died"
	failurePreempted = "preempted"
	failureSilent    = "silent"
	failureBroken    = "incomplete"
	failureNotRun    = "not-run"
	failureVersion   = "wrong-version"
	failureDraining  = "draining"
	failureBusy      = "busy"
)

type (
	// failure pairs a name on the wire with the errors that it stands for.
	failure struct {
		kind  string
		marks []error
	}

	frameJSON struct {
		Kind    string       `json:"kind"`
		Attempt string       `json:"attempt,omitempty"`
		Version string       `json:"version,omitempty"`
		Offset  int64        `json:"offset,omitempty"`
		Tokens  int64        `json:"tokens,omitempty"`
		Text    string       `json:"text,omitempty"`
		Finish  string       `json:"finish,omitempty"`
		Usage   *usageJSON   `json:"usage,omitempty"`
		Refusal *refusalJSON `json:"refusal,omitempty"`
		Failure string       `json:"failure,omitempty"`
		Message string       `json:"message,omitempty"`
	}

	usageJSON struct {
		Prompt     int64 `json:"prompt"`
		Completion int64 `json:"completion"`
		Cached     int64 `json:"cached"`
	}

	refusalJSON struct {
		Code       string `json:"code"`
		Outcome    string `json:"outcome"`
		Message    string `json:"message"`
		RetryAfter int64  `json:"retry-after-ms"`
		Request    string `json:"request,omitempty"`
	}
)

func encodePiece(p spoke.Piece) frameJSON {
	if p.Tokens == 0 && p.Finish == "" {
		return frameJSON{Kind: frameHeartbeat, Attempt: string(p.Attempt)}
	}
	frame := frameJSON{
		Kind: framePiece, Attempt: string(p.Attempt), Version: string(p.Version),
		Offset: int64(p.Offset), Tokens: int64(p.Tokens), Text: p.Text, Finish: string(p.Finish),
	}
	if p.Finish != "" {
		frame.Usage = &usageJSON{int64(p.Usage.Prompt), int64(p.Usage.Completion), int64(p.Usage.Cached)}
	}
	return frame
}

func decodePiece(f frameJSON) spoke.Piece {
	piece := spoke.Piece{
		Attempt: spoke.AttemptID(f.Attempt), Version: spoke.ModelVersion(f.Version),
		Offset: spoke.TokenCount(f.Offset), Tokens: spoke.TokenCount(f.Tokens),
		Text: f.Text, Finish: spoke.FinishReason(f.Finish),
	}
	if f.Usage != nil {
		piece.Usage = spoke.Usage{
			Prompt:     spoke.TokenCount(f.Usage.Prompt),
			Completion: spoke.TokenCount(f.Usage.Completion),
			Cached:     spoke.TokenCount(f.Usage.Cached),
		}
	}
	return piece
}

func encodeFailure(err error) frameJSON {
	var refusal *spoke.Refusal
	if errors.As(err, &refusal) {
		return frameJSON{Kind: frameRefusal, Refusal: &refusalJSON{
			Code: string(refusal.Code), Outcome: string(refusal.Outcome), Message: refusal.Message,
			RetryAfter: refusal.RetryAfter.Milliseconds(), Request: string(refusal.Request),
		}}
	}
	kind := failureBroken
	for _, failure := range failures() {
		if matchesAll(err, failure.marks) {
			kind = failure.kind
			break
		}
	}
	return frameJSON{Kind: frameFailure, Failure: kind, Message: err.Error()}
}

func decodeFailure(f frameJSON) error {
	if f.Kind == frameRefusal && f.Refusal != nil {
		return &spoke.Refusal{
			Code: spoke.RefusalCode(f.Refusal.Code), Outcome: spoke.Outcome(f.Refusal.Outcome),
			Message: f.Refusal.Message, Request: spoke.RequestID(f.Refusal.Request),
			RetryAfter: time.Duration(f.Refusal.RetryAfter) * time.Millisecond,
		}
	}
	for _, failure := range failures() {
		if failure.kind == f.Failure {
			return eris.Wrap(errors.Join(failure.marks...), f.Message)
		}
	}
	return eris.Wrap(spoke.ErrIncomplete, f.Message)
}

// failures lists the marks that cross the wire, the most specific first.
func failures() []failure {
	return []failure{
		{failureDied, []error{spoke.ErrUpstreamDied}},
		{failurePreempted, []error{spoke.ErrPreempted}},
		{failureSilent, []error{spoke.ErrIdleTimeout}},
		{failureVersion, []error{spoke.ErrNotRun, spoke.ErrWrongVersion}},
		{failureDraining, []error{spoke.ErrNotRun, spoke.ErrDraining}},
		{failureBusy, []error{spoke.ErrNotRun, spoke.ErrBusy}},
		{failureNotRun, []error{spoke.ErrNotRun}},
	}
}

func matchesAll(err error, marks []error) bool {
	for _, mark := range marks {
		if !errors.Is(err, mark) {
			return false
		}
	}
	return true
}

func decodeFrame(line []byte) (frameJSON, error) {
	var frame frameJSON
	err := json.Unmarshal(line, &frame)
	return frame, eris.Wrap(err, "decode frame")
}
