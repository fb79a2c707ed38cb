package place

import (
	"math"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// failureWeight is the part of the newest attempt in an upstream's failure rate.
	failureWeight = 0.15
	// failureFade is the time in which an upstream's failure rate halves without attempts.
	failureFade = 3 * time.Second
	// firstPause and longestPause bound how long an upstream that cannot be reached gets no calls.
	firstPause   = 300 * time.Millisecond
	longestPause = 3 * time.Second
	// loadFade is the time in which half of what an upstream said of its load is out of date.
	loadFade = 150 * time.Millisecond
	// paceWeight is the part of the newest observation in an upstream's pace.
	paceWeight             = 0.1
	slowestPace            = 8.0
	fastestPace            = 0.5
	readDone               = 0.05
	refusedFailure         = 0.5
	ownFailure             = 0.3
	certainFailure         = 1.0
	shortestServiceTime    = time.Millisecond
	defaultPlainService    = 50 * time.Millisecond
	longestObservedService = 5 * time.Second
)

type (
	// running is a call that this host has at an upstream.
	running struct {
		ask    Request
		node   *node
		sent   time.Time
		unread spoke.TokenCount
		// before counts the tokens that the engine reads before the call's first event.
		before spoke.TokenCount
		memory spoke.TokenCount
		// copying is the time that the transfers of the call's cached parts take.
		copying time.Duration
		// copies are the transfers of the call.
		copies    []transfer
		predicted time.Duration
		weights   spoke.WeightVersion
		hasBegun  bool
		// isRecalled says that the call should leave the upstream, since its weights are outdated.
		isRecalled bool
	}

	// node is what is known of one upstream.
	node struct {
		listed spoke.ListedUpstream
		runs   map[spoke.CallNumber]*running
		peers  map[spoke.HostID]spoke.HostUpstreamLoad
		cache  *memory
		// weights may be newer than what the directory lists.
		weights map[spoke.ModelName]spoke.WeightVersion
		// left is what the engine still had to read at leftAt.
		left   spoke.TokenCount
		leftAt time.Time
		// recent counts the tokens that it was given to read lately, as of recentAt.
		recent   float64
		recentAt time.Time
		// copyLeft is the time that its transfers still took at leftAt; they run one after the other.
		copyLeft time.Duration
		// load is what the upstream last said of itself.
		load     spoke.UpstreamLoad
		slowness slowness
		loadAt   time.Time
		// sign is when the upstream last answered this host or made progress for another.
		sign time.Time
		// reading is what the engines of the service have in common.
		reading *reading
		// pace is how many times slower than usual the upstream reads or serves.
		pace        float64
		serviceTime time.Duration
		failures    float64
		failedAt    time.Time
		pause       time.Duration
		pausedUntil time.Time
		// isGone says that another upstream has the address; only a new entry ends that.
		isGone bool
		// isDeparting says that the upstream has said that it leaves.
		isDeparting bool
		// askedUntil is when the upstream wants calls of this host again.
		askedUntil time.Time
		// heldUntil keeps calls away while weights are loaded.
		heldUntil time.Time
	}
)

func newNode(listed spoke.ListedUpstream, capacity spoke.TokenCount, reading *reading) *node {
	n := &node{
		runs:  make(map[spoke.CallNumber]*running),
		peers: make(map[spoke.HostID]spoke.HostUpstreamLoad),
		cache: newMemory(capacity), weights: make(map[spoke.ModelName]spoke.WeightVersion),
		reading: reading, pace: 1, serviceTime: defaultPlainService,
	}
	n.list(listed)
	return n
}

// list takes a newer entry of the directory.
func (n *node) list(listed spoke.ListedUpstream) {
	n.listed = listed
	for model, version := range listed.Weights {
		n.seeWeights(model, version)
	}
}

// seeWeights takes a version that the engine serves; reports lag, so lower ones are old news.
func (n *node) seeWeights(model spoke.ModelName, version spoke.WeightVersion) {
	if version <= n.weights[model] {
		return
	}
	if n.weights[model] != 0 {
		n.cache.clear()
	}
	n.weights[model] = version
}

func (n *node) totals() spoke.HostUpstreamLoad {
	total := n.own()
	for _, share := range n.peers {
		total.Prefill += share.Prefill
		total.Memory += share.Memory
		total.Runs += share.Runs
		total.TransferTime += share.TransferTime
	}
	return total
}

// own sums up the work of this host.
func (n *node) own() spoke.HostUpstreamLoad {
	share := spoke.HostUpstreamLoad{Upstream: n.listed.ID, Runs: len(n.runs)}
	for _, run := range n.runs {
		share.Memory += run.memory
		if !run.hasBegun {
			share.Prefill += run.unread
			share.TransferTime += run.copying
		}
	}
	return share
}

// backlog returns the tokens that the engine still has to read, less what it should have
// read since the last account.
func (n *node) backlog(now time.Time) spoke.TokenCount { return n.backlogOf(now, n.totals().Prefill) }

// backlogOf is backlog for a caller that knows the unread tokens of all hosts.
func (n *node) backlogOf(now time.Time, unread spoke.TokenCount) spoke.TokenCount {
	if unread == 0 {
		return 0
	}
	read := spoke.TokenCount(float64(now.Sub(n.leftAt)) / float64(time.Millisecond) * n.readRate())
	return max(n.left-read, spoke.TokenCount(readDone*float64(unread)))
}

// readRate is the number of prompt tokens that the engine reads in a millisecond.
func (n *node) readRate() float64 { return n.reading.rate / (n.pace * n.slowness.usual()) }

// copyBacklog returns the time until the engine's link is free.
func (n *node) copyBacklog(now time.Time) time.Duration {
	return max(n.copyLeft-now.Sub(n.leftAt), 0)
}

// grow adds work of the engine, before the runs that have it are noted.
func (n *node) grow(now time.Time, tokens spoke.TokenCount, copying time.Duration) {
	n.left, n.copyLeft = n.backlog(now)+max(tokens, 0), n.copyBacklog(now)+max(copying, 0)
	n.leftAt = now
	n.given(now, tokens)
}

// progressed notes that the engine finished reading a prompt; it reads one after the other, so
// the others are unread.
func (n *node) progressed(now time.Time) {
	n.sign = now
	total := n.totals()
	n.copyLeft = min(n.copyBacklog(now), total.TransferTime)
	n.left, n.leftAt = total.Prefill, now
}

// hears takes what an upstream says of its load in an answer.
func (s *Scheduler) hears(now time.Time, n *node, load *spoke.UpstreamLoad) {
	if load == nil {
		return
	}
	n.load, n.loadAt = *load, now
	if n.slowness.hear(load.Slowness, now) {
		s.report.slowness[n.listed.ID] = n
	}
}

// said returns the calls that the upstream said it had, which fade, since they end. Hosts of other
// cells have calls there that no account shows.
func (n *node) said(now time.Time) int {
	fade := math.Exp2(-float64(now.Sub(n.loadAt)) / float64(loadFade))
	return int(fade * float64(n.load.Running+n.load.Waiting))
}

func (n *node) isUsable(now time.Time) bool {
	return !n.isLeaving() && !n.isGone && !n.isPaused(now) && !n.isSilent(now)
}

func (n *node) isPaused(now time.Time) bool {
	return now.Before(n.pausedUntil) || now.Before(n.heldUntil) || now.Before(n.askedUntil)
}

// isFull reports whether an engine has as many calls as it runs at once.
func (n *node) isFull() bool {
	return len(n.listed.Weights) > 0 && n.totals().Runs >= n.listed.Slots
}

// mayServe reports whether the upstream may take the call now or later.
func (n *node) mayServe(m Request) bool {
	return !n.isLeaving() && !n.isGone && !slices.Contains(m.Tried, n.listed.ID)
}

// hold keeps calls away for a time; zero ends that, and a shorter time does not.
func (n *node) hold(now time.Time, pause time.Duration) {
	until := now.Add(pause)
	if pause == 0 || until.After(n.heldUntil) {
		n.heldUntil = until
	}
}

// isSilent reports whether a call has waited far longer than expected without any sign of the
// upstream, as when its machine has gone dark and its connections stay open.
func (n *node) isSilent(now time.Time) bool {
	for _, run := range n.runs {
		if !run.hasBegun && n.sign.Before(run.sent) && now.Sub(run.sent) > silentAfter+2*run.predicted {
			return true
		}
	}
	return false
}

// failureRate fades, so that an upstream gets calls again some time after it failed.
func (n *node) failureRate(now time.Time) float64 {
	age := now.Sub(n.failedAt)
	return n.failures * math.Exp2(-float64(age)/float64(failureFade))
}

func (n *node) observe(now time.Time, run *running, ending Ending) {
	failure := 0.0
	switch ending {
	case EndServed:
		n.pause = 0
		n.observeService(now.Sub(run.sent))
	case EndRefused:
		failure = refusedFailure
	case EndFailed:
		failure = ownFailure
	case EndBroken:
		failure = certainFailure
		if n.sign.Before(run.sent) {
			n.suspend(now)
		}
	case EndUnreachable:
		failure = certainFailure
		n.suspend(now)
	default:
		return
	}
	n.failures = (1-failureWeight)*n.failureRate(now) + failureWeight*failure
	n.failedAt = now
}

// suspend keeps calls away for a time that grows while the upstream stays out of reach.
func (n *node) suspend(now time.Time) {
	n.pause = min(max(2*n.pause, firstPause), longestPause)
	n.pausedUntil = now.Add(n.pause)
}

func (n *node) observeService(took time.Duration) {
	took = min(max(took, shortestServiceTime), longestObservedService)
	n.serviceTime += time.Duration(paceWeight * float64(took-n.serviceTime))
}

// observeFirst compares the time to a first event with that of other engines. A call that waited for
// copies says nothing of reading.
func (n *node) observeFirst(now time.Time, run *running) {
	if run.copying > 0 {
		return
	}
	took := now.Sub(run.sent)
	// What the machine made of it is told by its slowness.
	took = time.Duration(float64(took) / n.slowness.now(now))
	usual := n.reading.first(run.before)
	ratio := min(max(float64(took)/float64(usual), fastestPace), slowestPace)
	n.pace += paceWeight * (ratio - n.pace)
	n.reading.observe(run.before, took)
}
