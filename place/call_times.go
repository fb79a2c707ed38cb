package place

import (
	"math/bits"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// keptCallTimes is the number of recent calls of one kind whose times are kept; about one call in as many
	// takes longer than the longest of them.
	keptCallTimes = 128
	// maxCallKinds bounds the memory for call times.
	maxCallKinds = 2000
	// callTimeReserve is the part of the longest time shown that a call may take beyond it, as a divisor.
	callTimeReserve = 4
	// unknownTargetFactor is the multiple of its latency target within which an answer is expected on a route
	// that has shown nothing.
	unknownTargetFactor = 5
	// stopReserve is the time beyond the expected end of a call that must be left in a stop to accept it.
	stopReserve = 300 * time.Millisecond
)

type (
	// callKind identifies the calls of a route whose expected outputs are of similar length.
	callKind struct {
		route spoke.RouteName
		// size is the number of bits of the expected number of output tokens, zero without a prompt.
		size int
	}

	// recentTimes are the times of the latest calls of one kind.
	recentTimes struct {
		times []time.Duration
		next  int
	}

	// CallTimes estimates how long calls take from the recent calls of their routes.
	CallTimes struct {
		kinds map[callKind]*recentTimes
	}

	// CallBounds is what is known of a call before it is sent.
	CallBounds struct {
		Route spoke.Route
		// Prompt is nil for calls without a prompt.
		Prompt *spoke.PromptMetadata
		// Timeout is the time after which calls of the route end at the latest.
		Timeout time.Duration
		// Wait is the time after which this call ends at the latest.
		Wait time.Duration
		// Oldest is the longest time for which a call of the same route and size has been without its final
		// answer, zero if there is none.
		Oldest time.Duration
	}

	// Stop is what is known of the stop of a host when it decides about a call.
	Stop struct {
		// Left is the time until the calls under way end.
		Left time.Duration
		// MayEstimate is set while callers may still open connections to this host, until a time after the signal.
		MayEstimate bool
	}
)

// NewCallTimes returns call times without any recorded call.
func NewCallTimes() *CallTimes { return &CallTimes{kinds: make(map[callKind]*recentTimes)} }

// OutputSize returns the size class of the output that a prompt is expected to have, zero without a prompt.
func OutputSize(prompt *spoke.PromptMetadata) int {
	if prompt == nil {
		return 0
	}
	return bits.Len64(uint64(max(expectedOutput(prompt), 0)))
}

// Record records how long a call of the given size class took until its complete answer.
func (t *CallTimes) Record(route spoke.RouteName, size int, took time.Duration) {
	kind := callKind{route, size}
	recent := t.kinds[kind]
	if recent == nil {
		if len(t.kinds) >= maxCallKinds {
			return
		}
		recent = &recentTimes{}
		t.kinds[kind] = recent
	}
	if len(recent.times) < keptCallTimes {
		recent.times = append(recent.times, took)
		return
	}
	recent.times[recent.next] = took
	recent.next = (recent.next + 1) % keptCallTimes
}

// RecordUnfinished records how long a call had been under way when it ended without a complete answer; it counts
// only if complete calls took less.
func (t *CallTimes) RecordUnfinished(route spoke.RouteName, size int, took time.Duration) {
	if longest, ok := t.longest(route, size); ok && took > longest {
		t.Record(route, size, took)
	}
}

// Expected returns the time within which the call is expected to end, from its arrival.
func (t *CallTimes) Expected(call CallBounds) time.Duration {
	shown, ok := t.longest(call.Route.Name, OutputSize(call.Prompt))
	if !ok && call.Route.Rule == spoke.RuleStream {
		// A stream that ends at the deadline of its caller is broken.
		return call.Timeout
	}
	if !ok {
		shown = unknownTargetFactor * call.Route.Target
		if shown == 0 {
			shown = call.Timeout
		}
	}
	shown = max(shown, call.Oldest)
	return min(shown+shown/callTimeReserve, call.Wait)
}

// Accepts reports whether a stopping host sends a call to an upstream that is expected to take the given time. While the
// host listens, a caller that is refused may reach it again, and the expected time decides, unless the host learned of
// its stop so late that callers count on whole answers. After that, callers reach other hosts, and an estimate is not
// worth the risk of a broken stream or of a call that may have run: only calls that may be repeated, and those that end
// by their own limit, are accepted.
func (s Stop) Accepts(call CallBounds, expected time.Duration) bool {
	if !s.MayEstimate && call.Route.Rule != spoke.RuleRepeatable {
		expected = call.Wait
	}
	return s.Fits(expected)
}

// Fits reports whether a call that takes the given time ends before the stop does.
func (s Stop) Fits(expected time.Duration) bool { return expected+stopReserve <= s.Left }

// longest returns the longest recent time of the calls of a route with the size, or if there are none with the
// next larger one.
func (t *CallTimes) longest(route spoke.RouteName, size int) (time.Duration, bool) {
	for ; size <= bits.UintSize; size++ {
		if recent := t.kinds[callKind{route, size}]; recent != nil {
			return slices.Max(recent.times), true
		}
	}
	return 0, false
}
