package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
	"magnoliaspoke.example/spoke/guard"
)

// partBytes is the memory of a part of a prompt beside its bytes: its entry in the call, which grows by reallocation, and
// in the prefixes of two weight versions. A head of max-header-bytes can name 4,000 parts.
const partBytes spoke.ByteSize = 96

// newGuard returns the bounds on what callers make this host hold.
func newGuard(settings config.Relay, conf *configState, log logrus.FieldLogger) *guard.Guard {
	limits := func() spoke.CallerLimits {
		if table := conf.table.Load(); table != nil {
			return table.Limits
		}
		return spoke.CallerLimits{}
	}
	return guard.New(guard.Machine{Memory: settings.Memory, Descriptors: settings.Descriptors}, log, guard.WithLimits(limits), guard.WithBody(notRunBody))
}

// notRunBody returns the body of an answer for a request that was not run.
func notRunBody(code string) []byte {
	// The type always encodes.
	body, _ := json.Marshal(map[string]errorBody{"error": {Code: code, Outcome: "not-run"}})
	return body
}

// guardCallers closes connections of callers that are too slow.
func (h *Host) guardCallers(ctx context.Context) error {
	return runTask(ctx, h.deps.Timer, guard.SweepInterval, nil, nil, func(context.Context) { h.guard.Sweep() })
}

// guardPage returns what callers make this host hold, for the metrics page.
func (m *metrics) guardPage() any {
	page := m.guard.Page()
	return map[string]any{"connections": page.Connections, "held-bytes": page.Held, "ended": page.Ended}
}

// reserveParts reserves the memory of the parts of the call's prompt. It refuses the call and returns false without room.
func (e *exchange) reserveParts(r *http.Request) bool {
	count := len(e.call.Prompt.Parts)
	if guard.CallOf(r).Reserve(partBytes * spoke.ByteSize(count)) {
		return true
	}
	e.call.Prompt.Parts = nil // The body may still be discarded.
	e.refuse(http.StatusServiceUnavailable, "body-memory", shortRetryAfter, logrus.Fields{"parts": count})
	return false
}

// maxTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
