package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// remoteCost is the cost of sending to another data centre, in time of the caller.
	remoteCost = 4 * time.Millisecond
	// turnTime is the time in which hosts hear of each other's calls.
	turnTime = 25 * time.Millisecond
	// goneTime is how long other hosts keep calls from an upstream whose address another one has;
	// by then its entry has expired.
	goneTime = 6 * time.Second
	// silentAfter is the time beyond twice its prediction after which an engine that gives no sign
	// gets no more calls.
	silentAfter = 600 * time.Millisecond
	// failureCost is the cost of an upstream that always fails.
	failureCost = 600 * time.Millisecond
	// oldWeightsCost is the cost of weights that are about to be replaced.
	oldWeightsCost = 120 * time.Millisecond
	// newWeightsGrace is the time in which older weights cost nothing.
	newWeightsGrace = time.Second
	// homeBonus keeps prompts with a common prefix together while no engine has it.
	homeBonus = 8 * time.Millisecond
	// linkCost weighs the time that a copy takes of its source's link against the call's own wait.
	linkCost = 2.0
	// readCost weighs the time that reading takes from other calls against this call's own wait.
	readCost = 3.0

	// The shares of an engine's memory that calls of an urgency may fill leave room for output that
	// is longer than expected and for more urgent calls, which are shorter.
	firstMemoryShare  = 0.98
	secondMemoryShare = 0.94
	memoryShare       = 0.82
	// backlogShare is the part of its target that a call may wait inside an engine.
	urgentBacklogShare = 0.5
	backlogShare       = 0.25
	// longestBacklog keeps less urgent work out of engines until they are about to be idle, so
	// that urgent work that arrives meanwhile need not wait behind it.
	longestBacklog = 45 * time.Millisecond
	// copyWaitShare and longestCopyWait bound the wait for an engine's link.
	copyWaitShare   = 0.2
	longestCopyWait = 250 * time.Millisecond
	// plainBalance is the part of a plain upstream's service time by which a full one costs more
	// than an idle one, so that calls spread before they have to wait.
	plainBalance = 8
	// plainQueue is the part of its slots that a plain upstream may have waiting.
	plainQueue = 0.34

	// longestWaitShare is the part of a call's time that it may be expected to wait.
	longestWaitShare = 0.4
	shortestRetry    = 150 * time.Millisecond
	longestRetry     = 4 * time.Second
	// peerSilence is the time after which the account of a silent host counts no more.
	peerSilence = 3 * time.Second
	// scanLimit bounds the calls that one pass over a queue looks at.
	scanLimit = 48
	// offerLimit bounds the calls that one upstream is offered at a sign of its progress.
	offerLimit = 8
	// safeRetries leaves room for repeats that other hosts make at the same time.
	safeRetries = 0.7
	// weightsMargin is the time before the limit at which older weights are given up.
	weightsMargin = 600 * time.Millisecond
	// recallMargin is the time before the limit at which calls that have not begun on older weights
	// leave their engine.
	recallMargin = 250 * time.Millisecond
)

type (
	// Settings are the bounds of a Scheduler.
	Settings struct {
		Host       spoke.HostID
		DataCentre spoke.DataCentreID
		// RetryShare, RetryReserve and RetryWindow bound repeats over all hosts.
		RetryShare   float64
		RetryReserve float64
		RetryWindow  time.Duration
		// WeightsApply is the time after which older weights must not be used.
		WeightsApply time.Duration
	}
)
