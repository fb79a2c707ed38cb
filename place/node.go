package place

import (
	"math"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/finish"
	"magnoliaspoke.example/spoke/speed"
)

const (
	// failureWeight is the weight of the newest attempt in an upstream's failure rate.
	failureWeight = 0.15
	// failureHalfLife is the time in which an upstream's failure rate halves without attempts.
	failureHalfLife = 3 * time.Second
	// minBackoff and maxBackoff bound how long an upstream that cannot be reached gets no calls.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
	// loadHalfLife is the time in which the weight of a load that an upstream reported halves.
	loadHalfLife = 150 * time.Millisecond
	// paceWeight is the weight of the newest observation in an upstream's pace and service time.
	paceWeight  = 0.1
	slowestPace = 8.0
	fastestPace = 0.5
	// minBacklogShare is the least backlog of an engine, as a fraction of the prompt tokens of its calls that
	// have not begun.
	minBacklogShare        = 0.05
	refusedFailureScore    = 0.5
	upstreamFailureScore   = 0.3
	connectionFailureScore = 1.0
	shortestServiceTime    = time.Millisecond
	defaultPlainService    = 50 * time.Millisecond
	longestObservedService = 5 * time.Second
)

type (
	// runningCall is a call that this host has at an upstream.
	runningCall struct {
		request       Request
		node          *node
		sent          time.Time
		prefillTokens spoke.TokenCount
		// tokensToFirst counts the tokens that the engine prefills before the call's first event, those of
		// earlier calls included.
		tokensToFirst spoke.TokenCount
		memory        spoke.TokenCount
		// load is the number of calls that the upstream had when the call was sent.
		load int
		// copyTime is the time that the copies of the call's cached parts take.
		copyTime       time.Duration
		copiesBySource []sourceCopy
		predicted      time.Duration
		weights        spoke.WeightVersion
		hasBegun       bool
		// beganAt is when the first event arrived, prefilledBefore what the engine had prefilled until then.
		beganAt         time.Time
		prefilledBefore spoke.TokenCount
		// hasNamedLimit says that the answer named a limit.
		hasNamedLimit bool
		// isNamedBrittle says that the answer said that the upstream is brittle.
		isNamedBrittle bool
		// isRecalled marks a call that was recalled since its weights are outdated or its upstream is evacuated.
		isRecalled bool
		// answerEndedAt is when the answer ended that is not known to be whole yet, the zero time if it has not ended.
		answerEndedAt time.Time
		// isLost marks a call that had not begun when this host found its ways to the upstreams lost.
		isLost bool
	}

	// peerLoad is the work of another host at an upstream.
	peerLoad struct {
		spoke.HostUpstreamLoad
		// checkedAt is when the newest answer ended that the host has not found to be whole yet, or later.
		checkedAt time.Time
	}

	// node is the state of one upstream.
	node struct {
		listed spoke.ListedUpstream
		runs   map[spoke.CallNumber]*runningCall
		peers  map[spoke.HostID]peerLoad
		cache  *prefixCache
		// weights may be newer than the versions that the directory lists.
		weights map[spoke.ModelName]spoke.WeightVersion
		// pendingPrefill is the number of tokens that the engine still had to prefill at pendingAt.
		pendingPrefill spoke.TokenCount
		pendingAt      time.Time
		// recentPrefill is an exponentially decaying sum of the tokens assigned for prefill, as of
		// recentPrefillAt.
		recentPrefill   float64
		recentPrefillAt time.Time
		prefillLoad     finish.PrefillLoad
		eventRatio      finish.Ratio
		slack           ownSlack
		// pendingCopyTime is the remaining time of its copies at pendingAt; they run one after the other.
		pendingCopyTime time.Duration
		// load is the last load that the upstream reported, at loadAt.
		load     spoke.UpstreamLoad
		slowness speed.Reported
		loadAt   time.Time
		// speed is what is known of the upstream's speed compared with the others of its service.
		speed *speed.Upstream
		// progressAt is when the upstream last answered this host or made progress for another.
		progressAt time.Time
		// prefill is the model shared by the engines of the service.
		prefill *prefillModel
		// pace is the upstream's prefill time relative to that of the other engines; above 1 is slower.
		pace        float64
		serviceTime time.Duration
		failures    float64
		failedAt    time.Time
		// brokenAt and brokenElsewhereAt are when a call of this host or of another one was last broken off, the zero time
		// if none was.
		brokenAt, brokenElsewhereAt time.Time
		backoff                     time.Duration
		pausedUntil                 time.Time
		// isAddressReused says that another upstream has the address; only a new directory entry resets it.
		isAddressReused bool
		// region is that of the upstream's data centre, empty if it is unknown.
		region spoke.RegionID
		// isEvacuated says that the upstream's data centre is evacuated.
		isEvacuated bool
		// isDeparting says that the upstream has announced in an answer that it leaves.
		isDeparting bool
		// requestedPauseUntil is the end of the pause that the upstream requested from this host.
		requestedPauseUntil time.Time
		limit               *limit
		ramp                *ramp
		// doubts holds the doubts of other hosts.
		doubts map[spoke.HostID]doubt
		// loadingUntil is the end of the pause in which the engine loads weights.
		loadingUntil time.Time
	}
)

func newNode(listed spoke.ListedUpstream, capacity spoke.TokenCount, prefill *prefillModel) *node {
	n := &node{
		runs:  make(map[spoke.CallNumber]*runningCall),
		peers: make(map[spoke.HostID]peerLoad), doubts: make(map[spoke.HostID]doubt),
		cache: newPrefixCache(capacity), weights: make(map[spoke.ModelName]spoke.WeightVersion),
		prefill: prefill, pace: 1, serviceTime: defaultPlainService,
		speed: speed.NewUpstream(speed.Key{UpstreamStart: startOf(listed), Software: listed.Software}, listed.Slots),
	}
	n.update(listed)
	return n
}

// update applies a newer directory entry.
func (n *node) update(listed spoke.ListedUpstream) {
	n.listed = listed
	n.speed.SetSlots(listed.Slots)
	for model, version := range listed.Weights {
		n.observeWeights(model, version)
	}
}

// observeWeights records a version that the engine serves. Reports lag, so lower versions are ignored.
func (n *node) observeWeights(model spoke.ModelName, version spoke.WeightVersion) {
	if version <= n.weights[model] {
		return
	}
	if n.weights[model] != 0 {
		n.cache.clear()
	}
	n.weights[model] = version
}

func (n *node) totals() spoke.HostUpstreamLoad {
	total := n.ownLoad()
	for _, load := range n.peers {
		total.Prefill += load.Prefill
		total.Memory += load.Memory
		total.Runs += load.Runs
		total.CopyTime += load.CopyTime
	}
	return total
}

// ownLoad sums up the work of this host.
func (n *node) ownLoad() spoke.HostUpstreamLoad {
	load := spoke.HostUpstreamLoad{Upstream: n.listed.ID}
	for _, run := range n.runs {
		if run.isLost {
			continue
		}
		load.Runs++
		load.Memory += run.memory
		if !run.hasBegun {
			load.Prefill += run.prefillTokens
			load.CopyTime += run.copyTime
		}
	}
	return load
}

// backlog estimates the tokens that the engine still has to prefill: those pending at the last update
// less those that it should have prefilled since.
func (n *node) backlog(now time.Time) spoke.TokenCount { return n.backlogOf(now, n.totals().Prefill) }

// backlogOf is backlog for a caller that has already summed up the tokens to prefill of all hosts.
func (n *node) backlogOf(now time.Time, pending spoke.TokenCount) spoke.TokenCount {
	if pending == 0 {
		return 0
	}
	prefilled := spoke.TokenCount(float64(now.Sub(n.pendingAt)) / float64(time.Millisecond) * n.prefillRate())
	return max(n.pendingPrefill-prefilled, spoke.TokenCount(minBacklogShare*float64(pending)))
}

// prefillRate is the number of prompt tokens that the engine prefills in a millisecond.
func (n *node) prefillRate() float64 { return n.prefill.rate / (n.currentPace() * n.slowness.Usual()) }

// copyBacklog returns the time until the engine's link is free.
func (n *node) copyBacklog(now time.Time) time.Duration {
	return max(n.pendingCopyTime-now.Sub(n.pendingAt), 0)
}

// addWork adds to the engine's pending work. It must be called before the call is added to runs or peers.
func (n *node) addWork(now time.Time, tokens spoke.TokenCount, copyTime time.Duration) {
	n.pendingPrefill, n.pendingCopyTime = n.backlog(now)+max(tokens, 0), n.copyBacklog(now)+max(copyTime, 0)
	n.pendingAt = now
	n.addRecentPrefill(now, tokens)
}

// recordProgress records that the engine finished the prefill of a prompt. It prefills prompts one after
// the other, so the pending work is what all other calls still need.
func (n *node) recordProgress(now time.Time) {
	n.progressAt = now
	total := n.totals()
	n.pendingCopyTime = min(n.copyBacklog(now), total.CopyTime)
	n.pendingPrefill, n.pendingAt = total.Prefill, now
}

// recordLoad records the load that an upstream reports in an answer.
func (s *Scheduler) recordLoad(now time.Time, n *node, load *spoke.UpstreamLoad) {
	if load == nil {
		return
	}
	n.load, n.loadAt = *load, now
	if n.slowness.Observe(load.Slowness, now) {
		s.report.slowness[n.listed.ID] = n
	}
}

// reportedCalls returns the number of calls that the upstream reported, decayed with age, since calls
// end. It includes calls from hosts of other cells, which do not report their load to this host.
func (n *node) reportedCalls(now time.Time) int {
	decay := math.Exp2(-float64(now.Sub(n.loadAt)) / float64(loadHalfLife))
	return int(decay * float64(n.load.Running+n.load.Waiting))
}

func (n *node) isUsable(now time.Time) bool {
	return !n.isCold(now) && n.isUsableOnceWarm(now)
}

// isUsableOnceWarm reports whether the upstream is usable unless it is cold.
func (n *node) isUsableOnceWarm(now time.Time) bool {
	return !n.isLeaving() && !n.isAddressReused && !n.isPaused(now) && n.limit.Allows(now) && !n.isStalled(now)
}

func (n *node) isPaused(now time.Time) bool {
	return now.Before(n.pausedUntil) || now.Before(n.loadingUntil) || now.Before(n.requestedPauseUntil)
}

// isFull reports whether an engine has as many calls as it runs at once.
func (n *node) isFull() bool {
	return len(n.listed.Weights) > 0 && n.totals().Runs >= n.listed.Slots
}

// mayServe reports whether the upstream may take the call now or later.
func (n *node) mayServe(m Request) bool {
	return !n.isLeaving() && !n.isAddressReused && n.suits(m)
}

// suits reports whether the call may be sent to the upstream at all: it is not excluded, is in the call's homes and has a
// software version that the call may get.
func (n *node) suits(m Request) bool {
	return !m.excludes(n.listed.ID) && m.takesSoftware(n.listed.Software) && m.Homes.Allows(n.region)
}

// pauseForLoading keeps calls away while weights are loaded. Zero ends the pause; a shorter time does not
// shorten it.
func (n *node) pauseForLoading(now time.Time, pause time.Duration) {
	until := now.Add(pause)
	if pause == 0 || until.After(n.loadingUntil) {
		n.loadingUntil = until
	}
}

// isStalled reports whether a call has waited far longer than predicted without any progress of the
// upstream, as when its machine has failed and its connections stay open.
func (n *node) isStalled(now time.Time) bool {
	for _, run := range n.runs {
		if !run.hasBegun && !run.isLost && n.progressAt.Before(run.sent) && now.Sub(run.sent) > stallTimeout+2*run.predicted {
			return true
		}
	}
	return false
}

// failureRate decays with time, so that an upstream gets calls again some time after it failed.
func (n *node) failureRate(now time.Time) float64 {
	age := now.Sub(n.failedAt)
	return n.failures * math.Exp2(-float64(age)/float64(failureHalfLife))
}

// observe updates the failure rate, the backoff and the service time at the end of an attempt.
func (n *node) observe(now time.Time, run *runningCall, ending Ending) {
	failure := 0.0
	switch ending {
	case EndServed:
		n.backoff = 0
		n.observeService(now.Sub(run.sent))
	case EndRefused:
		failure = refusedFailureScore
	case EndFailed:
		failure = upstreamFailureScore
	case EndBroken:
		failure = connectionFailureScore
		if n.progressAt.Before(run.sent) {
			n.backOff(now)
		}
	case EndUnreachable:
		failure = connectionFailureScore
		n.backOff(now)
	default:
		return
	}
	n.failures = (1-failureWeight)*n.failureRate(now) + failureWeight*failure
	n.failedAt = now
}

// backOff keeps calls away for a time that doubles while the upstream stays unreachable.
func (n *node) backOff(now time.Time) {
	n.backoff = min(max(2*n.backoff, minBackoff), maxBackoff)
	n.pausedUntil = now.Add(n.backoff)
}

func (n *node) observeService(took time.Duration) {
	took = min(max(took, shortestServiceTime), longestObservedService)
	n.serviceTime += time.Duration(paceWeight * float64(took-n.serviceTime))
}

// observeFirstEvent updates the pace and the prefill model from the time to a first event. Calls that
// waited for copies are skipped, since their time does not depend on prefill alone.
func (n *node) observeFirstEvent(now time.Time, run *runningCall) {
	if run.copyTime > 0 {
		return
	}
	took := now.Sub(run.sent)
	// The engine reports the effect of its machine as slowness; only the rest counts here.
	took = time.Duration(float64(took) / n.slowness.At(now))
	usual := n.prefill.firstEvent(run.tokensToFirst)
	ratio := min(max(float64(took)/float64(usual), fastestPace), slowestPace)
	n.pace += paceWeight * (ratio - n.pace)
	n.prefill.observe(run.tokensToFirst, took)
}
