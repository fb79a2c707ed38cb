package crash_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/crash"
)

const (
	// stableWindow is the shortest time after the fifth crash from which requests count.
	stableWindow = 3 * time.Second
	// changeInterval and fullInterval are the times between reports of changes and full reports.
	changeInterval, fullInterval = 100 * time.Millisecond, time.Second
	maxPartAttempts              = 3
)

type (
	// partFleet simulates hosts that exchange reports, engines that crash when they begin an answer to a
	// request with a deadly part, and callers.
	partFleet struct {
		random  *rand.Rand
		now     time.Time
		queue   partQueue
		order   int
		hosts   []*partHost
		engines []*partEngine
		// deadly holds the parts that crash engines.
		deadly map[spoke.PartID]bool
		// hits counts the crashes that have hit a request. Hosts refuse it after two.
		hits map[spoke.Fingerprint]int
		// crashes are the times at which deadly parts crashed engines.
		crashes []time.Time
		// crashesOf and reachedBy are the times at which each deadly part crashed engines, and at which
		// counted requests with it were sent to an engine.
		crashesOf, reachedBy map[spoke.PartID][]time.Time
		// onCrash is called after each crash by a deadly part.
		onCrash func()
		loss    float64
		missed  float64
		sound   partCounts
		faulty  partCounts
		// blockedSound are the parts of the first sound request that was blocked.
		blockedSound   string
		requests       int
		wronglyBlocked int
		traffic        partTraffic
	}

	partCounts struct{ sent, blocked, served, failed int }

	partHost struct {
		id       spoke.HostID
		cell     int
		registry *crash.PartRegistry
		starts   int
		isDown   bool
		isCut    bool
		// countsFrom is the time from which requests sent by the host count.
		countsFrom time.Time
	}

	partEngine struct {
		number int
		cell   int
		start  spoke.UpstreamStart
		isDown bool
		busyTo time.Time
		runs   []*partRequestRun
	}

	partRequest struct {
		fingerprint spoke.Fingerprint
		parts       []spoke.PromptPart
		cell        int
		attempts    int
		repeats     int
	}

	partRequestRun struct {
		request  *partRequest
		host     *partHost
		starts   int
		id       spoke.AttemptID
		hasBegun bool
		isOver   bool
	}

	partTask struct {
		at    time.Time
		order int
		run   func()
	}

	partQueue []partTask
)

func (q partQueue) Len() int { return len(q) }
func (q partQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q partQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *partQueue) Push(x any)   { *q = append(*q, x.(partTask)) }
func (q *partQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newPartFleet(seed uint64, hosts, engines, cells int) *partFleet {
	f := &partFleet{
		onCrash: func() {}, random: rand.New(rand.NewPCG(seed, 1)), now: start, deadly: make(map[spoke.PartID]bool), hits: make(map[spoke.Fingerprint]int),
		crashesOf: make(map[spoke.PartID][]time.Time), reachedBy: make(map[spoke.PartID][]time.Time), loss: 0.02,
	}
	for i := range hosts {
		h := &partHost{id: spoke.HostID(fmt.Sprintf("host-%d", i)), cell: i % cells}
		f.hosts = append(f.hosts, h)
		f.boot(h)
	}
	for i := range engines {
		e := &partEngine{number: i, cell: i % cells}
		f.engines = append(f.engines, e)
		f.startEngine(e)
	}
	f.announce()
	return f
}

// boot starts a host without any state.
func (f *partFleet) boot(h *partHost) {
	h.registry = crash.NewPartRegistry()
	h.starts++
	h.isDown = false
	h.countsFrom = f.now
	starts := h.starts
	f.after(f.between(0, changeInterval), func() { f.reportRegularly(h, starts, changeInterval, false) })
	f.after(f.between(0, fullInterval), func() { f.reportRegularly(h, starts, fullInterval, true) })
}

// announce tells all hosts of the list of hosts.
func (f *partFleet) announce() {
	var ids []spoke.HostID
	for _, h := range f.hosts {
		if !h.isDown {
			ids = append(ids, h.id)
		}
	}
	for _, h := range f.hosts {
		h.registry.SetHosts(h.id, ids)
	}
}

// join adds a host to the first cell.
func (f *partFleet) join() {
	h := &partHost{id: spoke.HostID(fmt.Sprintf("host-%d", len(f.hosts)))}
	f.hosts = append(f.hosts, h)
	f.boot(h)
}

// noticeRestart lets the other hosts notice that a host has restarted.
func (f *partFleet) noticeRestart(h *partHost) {
	for _, other := range f.hosts {
		if other != h {
			other.registry.ResendAll()
		}
	}
}

func (f *partFleet) after(delay time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, partTask{at: f.now.Add(delay), order: f.order, run: run})
}

func (f *partFleet) at(seconds float64, run func()) {
	f.after(start.Add(time.Duration(seconds*float64(time.Second))).Sub(f.now), run)
}

// runTo lets the simulated time pass.
func (f *partFleet) runTo(seconds float64) {
	end := start.Add(time.Duration(seconds * float64(time.Second)))
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		task := heap.Pop(&f.queue).(partTask)
		f.now = task.at
		task.run()
	}
	f.now = end
}

func (f *partFleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Float64()*float64(high-low))
}

func (f *partFleet) reportRegularly(h *partHost, starts int, interval time.Duration, isFull bool) {
	if h.starts != starts || h.isDown {
		return
	}
	if isFull || h.registry.HasChanges() {
		f.report(h, isFull)
	}
	f.after(interval, func() { f.reportRegularly(h, starts, interval, isFull) })
}

func (f *partFleet) report(h *partHost, isFull bool) {
	report, hasContent := h.registry.Report(f.now, isFull)
	if !hasContent {
		return
	}
	for _, other := range f.hosts {
		if other == h || other.isDown || h.isCut || other.isCut || f.random.Float64() < f.loss {
			continue
		}
		starts := other.starts
		f.after(f.between(time.Millisecond, 60*time.Millisecond), func() {
			if other.starts == starts && !other.isDown {
				other.registry.Receive(f.now, h.id, report)
			}
		})
	}
}

// deadlyPart returns the part of a request that crashes engines, if any.
func (f *partFleet) deadlyPart(parts []spoke.PromptPart) spoke.PartID {
	for _, part := range parts[:len(parts)-1] {
		if f.deadly[part.ID] {
			return part.ID
		}
	}
	return ""
}

func (f *partFleet) isDeadly(parts []spoke.PromptPart) bool { return f.deadlyPart(parts) != "" }

// send lets a request arrive at a random host.
func (f *partFleet) send(request *partRequest) {
	var hosts []*partHost
	for _, h := range f.hosts {
		if !h.isDown && h.cell == request.cell {
			hosts = append(hosts, h)
		}
	}
	if len(hosts) == 0 {
		return
	}
	h := hosts[f.random.IntN(len(hosts))]
	counts := f.countsOf(request)
	counts.sent++
	if h.registry.Admit(f.now, request.parts).IsBlocked {
		f.block(request)
		return
	}
	request.attempts = 0
	f.after(f.between(0, 20*time.Millisecond), func() { f.try(h, h.starts, request) })
}

func (f *partFleet) countsOf(request *partRequest) *partCounts {
	if f.isDeadly(request.parts) {
		return &f.faulty
	}
	return &f.sound
}

func (f *partFleet) block(request *partRequest) {
	f.countsOf(request).blocked++
	if !slices.ContainsFunc(request.parts, func(part spoke.PromptPart) bool { return slices.Contains(f.traffic.faulty, part.ID) }) {
		f.wronglyBlocked++
	}
	if f.blockedSound == "" && !f.isDeadly(request.parts) {
		f.blockedSound = fmt.Sprintf("%s: %v", f.now.Sub(start), request.parts)
	}
}

// try sends the request to a random engine.
func (f *partFleet) try(h *partHost, starts int, request *partRequest) {
	if h.starts != starts || h.isDown {
		return
	}
	var engines []*partEngine
	for _, e := range f.engines {
		if !e.isDown && e.cell == request.cell && (!h.isCut || e.number%2 == 0) {
			engines = append(engines, e)
		}
	}
	if f.hits[request.fingerprint] >= 2 || len(engines) == 0 {
		f.fail(request)
		return
	}
	e := engines[f.random.IntN(len(engines))]
	request.attempts++
	f.requests++
	run := &partRequestRun{request: request, host: h, starts: starts, id: spoke.AttemptID(fmt.Sprint(f.requests))}
	verdict := h.registry.Begin(f.now, crash.PartAttempt{
		ID: run.id, Fingerprint: request.fingerprint, Upstream: e.start, Parts: request.parts,
	})
	if verdict.IsBlocked {
		f.block(request)
		return
	}
	if part := f.deadlyPart(request.parts); part != "" && !h.isCut && !h.countsFrom.After(f.now) {
		f.reachedBy[part] = append(f.reachedBy[part], f.now)
	}
	f.process(e, run)
}

// fail lets the caller repeat the request, often at another host.
func (f *partFleet) fail(request *partRequest) {
	f.countsOf(request).failed++
	if request.repeats < 2 && f.random.IntN(2) == 0 {
		request.repeats++
		f.after(f.between(100*time.Millisecond, time.Second), func() { f.send(request) })
	}
}

// overBudget returns the largest number of requests with one of the deadly parts that reached engines later
// than the stable window after its fifth crash.
func (f *partFleet) overBudget() int {
	worst := 0
	for part, crashes := range f.crashesOf {
		if len(crashes) < 5 {
			continue
		}
		count := 0
		for _, at := range f.reachedBy[part] {
			if at.After(crashes[4].Add(stableWindow)) {
				count++
			}
		}
		worst = max(worst, count)
	}
	return worst
}
