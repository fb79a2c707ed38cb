package place

import (
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/home"
)

const (
	// remoteCost is the cost of sending a call to another data centre, as latency for the caller.
	remoteCost = 4 * time.Millisecond
	// drawPeriod is how long the result of a draw for a free engine is valid. Hosts receive each other's
	// load reports within that time.
	drawPeriod = 25 * time.Millisecond
	// addressReusedPause is how long other hosts send no calls to an upstream whose address belongs to
	// another one; its directory entry expires within that time.
	addressReusedPause = 6 * time.Second
	// stallTimeout is the time beyond twice the predicted first event after which an engine that has
	// shown no progress gets no more calls.
	stallTimeout = 600 * time.Millisecond
	// failureCost is the cost of an upstream whose calls all fail.
	failureCost = 600 * time.Millisecond
	// oldWeightsCost is the cost of weights for which a newer version has been wanted longer than
	// newWeightsGrace.
	oldWeightsCost = 120 * time.Millisecond
	// newWeightsGrace is the time after a newer version became wanted in which older weights add no cost.
	newWeightsGrace = time.Second
	// affinityBonus lowers the cost of the affinity engine, so that prompts with a common prefix go to
	// one engine before any has cached it.
	affinityBonus = 8 * time.Millisecond
	// linkCostFactor weights the time that a copy occupies its source's link, relative to the call's
	// own wait.
	linkCostFactor = 2.0
	// prefillCostFactor weights the prefill time that is taken from other calls, relative to this call's
	// own wait.
	prefillCostFactor = 3.0

	// urgentMemoryShare, normalMemoryShare and memoryShare are the fractions of an engine's memory that
	// calls of urgency 0, 1 and above may fill. The rest is room for output that is longer than expected
	// and for more urgent calls, which are shorter.
	urgentMemoryShare = 0.98
	normalMemoryShare = 0.94
	memoryShare       = 0.82
	// urgentBacklogShare and backlogShare are the fractions of its target time that a call may wait
	// inside an engine.
	urgentBacklogShare = 0.5
	backlogShare       = 0.25
	// longestBacklog bounds the wait inside an engine for calls of urgency above 1: engines get them only
	// when nearly idle, so that urgent calls which arrive meanwhile do not wait behind them.
	longestBacklog = 45 * time.Millisecond
	// copyWaitShare, a fraction of the target time, and longestCopyWait bound the wait for an engine's
	// link.
	copyWaitShare   = 0.2
	longestCopyWait = 250 * time.Millisecond
	// plainBalance determines how much more a full plain upstream costs than an idle one: its service time
	// divided by plainBalance. This spreads calls before they have to wait.
	plainBalance = 8
	// plainQueueShare bounds the queue inside a plain upstream as a fraction of its slots.
	plainQueueShare = 0.34

	// longestWaitShare is the fraction of a call's remaining time that its expected wait may take.
	longestWaitShare = 0.4
	// shortestRetry and longestRetry bound the retry-after time of a refusal.
	shortestRetry = 150 * time.Millisecond
	longestRetry  = 4 * time.Second
	// peerTimeout is the time without a load report after which the state of a host is dropped.
	peerTimeout = 3 * time.Second
	// scanLimit bounds the calls that one pass over a queue examines.
	scanLimit = 48
	// offerLimit bounds the waiting calls that are tried at one upstream each time it makes progress.
	offerLimit = 8
	// retrySafetyFactor scales the retry budget down, to leave room for retries that other hosts make at
	// the same time.
	retrySafetyFactor = 0.7
	// runningRetryShare is the fraction of the retry budget for calls that are still at a silent upstream. When a
	// whole rack falls silent for a moment, the rest remains for calls whose upstream has failed.
	runningRetryShare = 0.5
	// engineSilence is the time for which a sound engine may stand still. It may then begin calls before it notices their
	// recall.
	engineSilence = time.Second
	// silenceDivisor determines the longest silence that is allowed for within a short Settings.WeightsApply.
	silenceDivisor = 6
	// weightsMargin is the time before the end of Settings.WeightsApply, less an engine's silence, from which older
	// weights get no more calls.
	weightsMargin = 600 * time.Millisecond
	// recallMargin is the time before the end of Settings.WeightsApply, less an engine's silence, from which calls that
	// have not begun on older weights are recalled from their engine.
	recallMargin = 250 * time.Millisecond
)

type (
	// Settings configures a Scheduler.
	Settings struct {
		Host       spoke.HostID
		DataCentre spoke.DataCentreID
		// RetryShare, a fraction of the calls, and RetryReserve, a number of retries, bound the retries of
		// all hosts within RetryWindow.
		RetryShare   float64
		RetryReserve float64
		RetryWindow  time.Duration
		// ColdFactor, a factor of its rate, and ColdSlack, a number of requests, bound the requests of all hosts to a cold
		// upstream within a second.
		ColdFactor, ColdSlack float64
		// WeightsApply is the time after a newer version became wanted in which older weights may still be
		// used.
		WeightsApply time.Duration
		// Regions holds the region of each data centre.
		Regions home.Regions
		// ComparesSpeed turns on the comparison of the speeds of upstreams.
		ComparesSpeed bool
	}
)
