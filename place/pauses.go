package place

import (
	"math"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// readingMemory is the time in which half of what an engine was given to read is forgotten.
	readingMemory = 700 * time.Millisecond
	// pauseCost is the cost of a pause that makes a stream late, in time of its caller.
	pauseCost = 60 * time.Millisecond
	// exposureCost is the cost of a long stream at an engine that reads all the time.
	exposureCost = 250 * time.Millisecond
	// longOutput is the output of a stream that lasts as long as others wait for first events.
	longOutput = 40.0
)

// given notes tokens that an engine got to read.
func (n *node) given(now time.Time, tokens spoke.TokenCount) {
	n.recent = n.recentTokens(now) + float64(max(tokens, 0))
	n.recentAt = now
}

func (n *node) recentTokens(now time.Time) float64 {
	return n.recent * math.Exp2(-float64(now.Sub(n.recentAt))/float64(readingMemory))
}

// readingShare is the part of its time that an engine has spent on reading lately.
func (n *node) readingShare(now time.Time) float64 {
	spent := n.reading.time(spoke.TokenCount(n.recentTokens(now)), n.pace*n.slowness.usual())
	return min(float64(spent)*math.Ln2/float64(readingMemory), 1)
}

// pauses is the cost of pauses between the events of streams: what a call makes others pause while its
// prompt is read, and what it is made to pause while its engine reads others.
func (n *node) pauses(now time.Time, m Request, runs int, read time.Duration) time.Duration {
	if m.GapTarget <= 0 {
		return 0
	}
	share := n.readingShare(now)
	// Streams of an engine that reads all the time are late already.
	made := (1 - share) * float64(runs) * float64(pauseCost) * float64(read) / float64(m.GapTarget)
	output := float64(expectedOutput(m.Prompt))
	met := share * float64(exposureCost) * output / (output + longOutput)
	return time.Duration(made + met)
}
