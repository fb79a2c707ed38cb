package place

import (
	"maps"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/speed"
)

const (
	// overloadWeight is the cost of each call beyond those that an upstream takes well, as a multiple of its share of the
	// upstream's time, since such a call delays the others there as well.
	overloadWeight = 3
	// probeAfter is the time without any call at an upstream that differs after which it gets one.
	probeAfter = 500 * time.Millisecond
	// cancelledFactor is the multiple of the service time from which a call that was cancelled shows that its upstream is
	// slow.
	cancelledFactor = 2
	// behindFactor is the multiple of a prompt's own tokens above which its time depends too much on the estimate of the
	// work before it to tell the engine's speed.
	behindFactor = 4
	// workUnit, in tokens, is the unit of an engine's recent work.
	workUnit = 256
)

type (
	// speeds compares the upstreams of each service.
	speeds struct {
		services map[spoke.ServiceName]*speed.Service
		link     *speed.Link
		budget   speed.Budget
		probed   map[spoke.UpstreamID]time.Time
	}

	// SpeedChanged reports that an upstream was found to differ in speed from the others of its service, or no longer.
	SpeedChanged struct {
		Upstream spoke.UpstreamID
		// Differs is false if the upstream is as the others again.
		Differs bool
		// Pace is the time of its calls relative to usual ones.
		Pace float64
		// Takes of Slots is the number of calls that it takes well.
		Takes, Slots int
	}
)

func (SpeedChanged) isAction() {}

func newSpeeds() speeds {
	return speeds{
		services: make(map[spoke.ServiceName]*speed.Service), link: speed.NewLink(), probed: make(map[spoke.UpstreamID]time.Time),
	}
}

// updateSpeeds applies the list of upstreams.
func (s *Scheduler) updateSpeeds() {
	for service := range s.speeds.services {
		if len(s.byService[service]) == 0 {
			delete(s.speeds.services, service)
		}
	}
	maps.DeleteFunc(s.speeds.probed, func(id spoke.UpstreamID, _ time.Time) bool { return s.nodes[id] == nil })
	for service, nodes := range s.byService {
		if s.speeds.services[service] == nil {
			s.speeds.services[service] = speed.NewService(s.speeds.link)
		}
		upstreams := make([]*speed.Upstream, 0, len(nodes))
		for _, n := range nodes {
			upstreams = append(upstreams, n.speed)
		}
		s.speeds.services[service].SetUpstreams(upstreams)
	}
}

// observeSpeed adds the time of a call to what is known of its upstream.
func (s *Scheduler) observeSpeed(now time.Time, run *runningCall, isDetour bool, ending Ending) {
	n, took := run.node, now.Sub(run.sent)
	isServed := ending == EndServed
	isTooSlow := ending == EndCancelled && took > cancelledFactor*n.serviceTime
	known := s.speeds.services[n.listed.Service]
	if !s.settings.ComparesSpeed || isDetour || run.isLost || run.copyTime > 0 || known == nil || (!isServed && !isTooSlow) {
		return
	}
	if n.listed.DataCentre != s.settings.DataCentre {
		took -= remoteCost
	}
	usual, work := defaultPlainService, 0.0
	if run.request.Prompt != nil {
		if float64(run.tokensToFirst) > behindFactor*float64(run.prefillTokens) {
			return
		}
		work = max(n.recentPrefillAsOf(now)/workUnit, 1)
		usual = n.prefill.firstEvent(run.tokensToFirst)
		took = time.Duration(float64(took) / n.slowness.At(now))
	}
	took = max(took, shortestServiceTime)
	known.Observe(now, n.speed, speed.Call{Load: run.load, Work: work, Ratio: float64(took) / float64(max(usual, shortestServiceTime))})
}

func (s *Scheduler) judgeAllSpeeds(now time.Time) {
	for _, service := range slices.Sorted(maps.Keys(s.speeds.services)) {
		s.judgeSpeeds(now, service)
	}
}

// judgeSpeeds compares the upstreams of a service.
func (s *Scheduler) judgeSpeeds(now time.Time, service spoke.ServiceName) {
	known := s.speeds.services[service]
	if known == nil || !s.settings.ComparesSpeed {
		return
	}
	for _, u := range known.Judge(now) {
		n := s.nodes[u.Key().ID]
		if n == nil || n.speed != u {
			continue
		}
		if !u.Differs() {
			// What the host has seen while the upstream was slow would keep calls away, without which it is never updated.
			n.pace, n.serviceTime = 1, s.usualService(n)
		}
		s.actions = append(s.actions, SpeedChanged{
			Upstream: n.listed.ID, Differs: u.Differs(), Pace: u.Pace(), Takes: u.Takes(), Slots: n.listed.Slots,
		})
	}
}

// usualService is the mean service time of the upstreams that do not differ, that of the upstream itself if all do.
func (s *Scheduler) usualService(n *node) time.Duration {
	sum, count := time.Duration(0), time.Duration(0)
	for _, other := range s.byService[n.listed.Service] {
		if other != n && !other.speed.Differs() {
			sum, count = sum+other.serviceTime, count+1
		}
	}
	if count == 0 {
		return n.serviceTime
	}
	return sum / count
}

// plainService is the expected service time of a plain upstream.
func (s *Scheduler) plainService(n *node) time.Duration {
	if !n.speed.Differs() {
		return n.serviceTime
	}
	return max(time.Duration(n.speed.Pace()*float64(s.usualService(n))), shortestServiceTime)
}

// currentPace is the upstream's pace: by the calls of all hosts if it differs, else by those of this host.
func (n *node) currentPace() float64 {
	if n.speed.Differs() {
		return n.speed.Ratio()
	}
	return n.pace
}

// takes is the number of calls that the upstream takes well, its slots unless it differs.
func (n *node) takes() int {
	if n.speed.Differs() {
		return n.speed.Takes()
	}
	return n.listed.Slots
}

// overloadCost is the cost of one more call at an upstream that takes fewer than its slots well.
func (n *node) overloadCost(calls int, took time.Duration) time.Duration {
	takes := max(n.takes(), 1)
	if !n.speed.Differs() || takes >= n.listed.Slots || calls < takes {
		return 0
	}
	return overloadWeight * time.Duration(calls-takes+1) * took / time.Duration(takes)
}

// currentLoad is the number of calls that the upstream has.
func (n *node) currentLoad(now time.Time) int { return max(n.totals().Runs, n.reportedCalls(now)) }

// probe returns an upstream that differs and has not been seen for a while, if the call may take a little longer, so
// that the upstream's recovery is noticed.
func (s *Scheduler) probe(now time.Time, w *waitingCall, nodes []*node, best candidate) (candidate, bool) {
	if w.request.IsRetry || w.request.Prompt != nil && w.request.Urgency == 0 {
		return candidate{}, false
	}
	for _, n := range nodes {
		if !n.speed.Differs() || n == best.node || now.Sub(n.speed.LastSeen()) < probeAfter || now.Sub(s.speeds.probed[n.listed.ID]) < probeAfter {
			continue
		}
		if n.currentLoad(now) > 0 || !n.isUsable(now) || !n.suits(w.request) || n.isDoubted(now) {
			continue
		}
		if c, ok := s.evaluate(now, w, n); ok {
			s.speeds.probed[n.listed.ID] = now
			return c, true
		}
	}
	return candidate{}, false
}

// speedReports returns what the hosts of this cell should know of the speeds of upstreams.
func (s *Scheduler) speedReports(now time.Time) []spoke.UpstreamSpeed {
	if !s.settings.ComparesSpeed {
		return nil
	}
	hosts := max(len(s.cell.Members)-1, len(s.peers))
	var reports []spoke.UpstreamSpeed
	for _, service := range slices.Sorted(maps.Keys(s.speeds.services)) {
		reports = append(reports, s.speeds.services[service].Reports(now, &s.speeds.budget, hosts)...)
	}
	return reports
}

// applySpeeds applies what another host reports of the speeds of upstreams.
func (s *Scheduler) applySpeeds(now time.Time, report spoke.HostReport) {
	for _, reported := range report.Speeds {
		if n := s.nodes[reported.Upstream]; n != nil {
			n.speed.Receive(now, report.Host, reported)
		}
	}
}
