package place

import (
	"math"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// prefillHalfLife is the time in which the weight of prefill work assigned to an engine halves.
	prefillHalfLife = 700 * time.Millisecond
	// lateGapCost is the cost of a gap that makes a stream late, as latency for its caller.
	lateGapCost = 60 * time.Millisecond
	// exposureCost is the cost of a long stream at an engine that prefills all the time.
	exposureCost = 250 * time.Millisecond
	// longOutput is the output, in tokens, of a stream that lasts as long as other calls wait for their
	// first events.
	longOutput = 40.0
)

// addRecentPrefill records tokens that were assigned to an engine for prefill.
func (n *node) addRecentPrefill(now time.Time, tokens spoke.TokenCount) {
	n.recentPrefill = n.recentPrefillAsOf(now) + float64(max(tokens, 0))
	n.recentPrefillAt = now
	n.prefillLoad.Add(now, tokens)
}

func (n *node) recentPrefillAsOf(now time.Time) float64 {
	return n.recentPrefill * math.Exp2(-float64(now.Sub(n.recentPrefillAt))/float64(prefillHalfLife))
}

// prefillShare estimates the fraction of its time that an engine has recently spent on prefill.
func (n *node) prefillShare(now time.Time) float64 {
	spent := n.prefill.time(spoke.TokenCount(n.recentPrefillAsOf(now)), n.currentPace()*n.slowness.Usual())
	return min(float64(spent)*math.Ln2/float64(prefillHalfLife), 1)
}

// gapCost is the cost of gaps between the events of streams: those that the prefill of a call causes in
// other streams, and those in its own stream during the prefill of other calls.
func (n *node) gapCost(now time.Time, m Request, runs int, prefill time.Duration) time.Duration {
	if m.GapTarget <= 0 {
		return 0
	}
	share := n.prefillShare(now)
	// Streams of an engine that prefills all the time are late already.
	caused := (1 - share) * float64(runs) * float64(lateGapCost) * float64(prefill) / float64(m.GapTarget)
	output := float64(expectedOutput(m.Prompt))
	incurred := share * float64(exposureCost) * output / (output + longOutput)
	return time.Duration(caused + incurred)
}
