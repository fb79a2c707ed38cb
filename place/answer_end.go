package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// EndAtLimit states that a stream has as many events as its caller allows tokens, so that nothing can follow.
	EndAtLimit EndEvidence = "output-limit"
	// EndUpstreamRuns states that the upstream that gave the answer still ran behind its end.
	EndUpstreamRuns EndEvidence = "upstream-runs"
	// EndUpstreamRefused states that the address of the upstream refused a connection.
	EndUpstreamRefused EndEvidence = "upstream-refused"
	// EndUpstreamReplaced states that another upstream, or another start of it, has the address.
	EndUpstreamReplaced EndEvidence = "upstream-replaced"
	// EndStartUnclear states that another start of the upstream has the address than the one that was granted, which may
	// have been outdated.
	EndStartUnclear EndEvidence = "upstream-start-unclear"
	// EndUpstreamLeft states that the upstream has exited behind its last answer, after a notice.
	EndUpstreamLeft EndEvidence = "upstream-left"
	// EndNothing states that nothing was learned.
	EndNothing EndEvidence = "nothing"

	// endCheckTime covers a second of silence of a sound upstream. A caller abandons a stream after two seconds without an
	// event, of which the rest is left to resume it.
	endCheckTime = 1500 * time.Millisecond
	// endSettleTime is the time within which an upstream that ends by itself closes its listener, behind its connections.
	endSettleTime = 10 * time.Millisecond
	// endTryTime bounds one try, since a connection may be lost while others are not.
	endTryTime = 500 * time.Millisecond
	// minEndPause and maxEndPause bound the pause after a try that brought nothing.
	minEndPause = 20 * time.Millisecond
	maxEndPause = 200 * time.Millisecond
)

type (
	// EndEvidence is what shows whether an answer with neither a length nor chunks is whole.
	EndEvidence string

	// EndCheck decides whether an answer with neither a length nor chunks is whole, by asking who runs at the address of
	// its upstream. The kernel ends the connections of a killed process in the regular way, so the end alone shows nothing.
	EndCheck struct {
		until   time.Time
		firstAt time.Time
		pause   time.Duration
	}

	// EndOrigin is what is known of the upstream that gave an answer.
	EndOrigin struct {
		// Started is the start that was granted, the zero time if it is not known.
		Started time.Time
		// SentFor is the time since the call was sent.
		SentFor time.Duration
		// MustReport is set if the upstream serves prompts.
		MustReport bool
	}

	// EndStep is what to do after a try.
	EndStep struct {
		// IsDecided is set if no further try is made.
		IsDecided bool
		// AskAt is the time of the next try, if there is one.
		AskAt time.Time
	}
)

// IsWhole reports whether the answer is whole.
func (e EndEvidence) IsWhole() bool {
	return e == EndAtLimit || e == EndUpstreamRuns || e == EndUpstreamLeft
}

// IsDeath reports whether the upstream that gave the answer no longer ran behind its end.
func (e EndEvidence) IsDeath() bool { return e == EndUpstreamRefused || e == EndUpstreamReplaced }

// IsAtLimit reports whether a stream of so many events can have no further one: each event has at least one token. A
// prompt without a limit gives no evidence.
func IsAtLimit(prompt spoke.PromptMetadata, events int) bool {
	return prompt.MaxOutput > 0 && int64(events) >= int64(prompt.MaxOutput)
}

// IdentityEvidence returns what an answer about the upstream at an address shows. An upstream that serves prompts must
// report, since a start that is not ready yet answers with an error. The directory may name an earlier start than the one
// that the call was sent to, so that the uptime decides where the starts differ.
func IdentityEvidence(meant EndOrigin, identity spoke.UpstreamIdentity) EndEvidence {
	isSameStart := identity.Started.Equal(meant.Started)
	switch {
	case identity.IsOther:
		return EndUpstreamReplaced
	case meant.MustReport && !identity.IsReport:
		return EndNothing
	case isSameStart || identity.Uptime > meant.SentFor:
		return EndUpstreamRuns
	case identity.Uptime > 0:
		return EndUpstreamReplaced
	case !meant.Started.IsZero() && !identity.Started.IsZero():
		return EndStartUnclear
	}
	return EndUpstreamRuns
}

// NewEndCheck returns the check of an answer that ended now, which is decided at the deadline of its call at the latest.
func NewEndCheck(now, deadline time.Time) *EndCheck {
	return &EndCheck{until: earlier(now.Add(endCheckTime), deadline), firstAt: now.Add(endSettleTime), pause: minEndPause}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// FirstAt returns the time of the first try.
func (c *EndCheck) FirstAt() time.Time { return c.firstAt }

// TryTime returns the time that a try which begins now may take.
func (c *EndCheck) TryTime(now time.Time) time.Duration {
	return max(min(endTryTime, c.until.Sub(now)), 0)
}

// Tried records what a try has shown. Sound upstreams fall silent for a moment, and reset connections that are too many
// for them, so a try without an answer is followed by another one while there is time.
func (c *EndCheck) Tried(now time.Time, evidence EndEvidence) EndStep {
	if evidence != EndNothing {
		return EndStep{IsDecided: true}
	}
	askAt := now.Add(c.pause)
	c.pause = min(2*c.pause, maxEndPause)
	return EndStep{IsDecided: !askAt.Before(c.until), AskAt: askAt}
}
