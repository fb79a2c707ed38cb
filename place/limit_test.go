package place_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

const (
	// limitGrace is the time after an upstream first named a limit, and after a restart of a host, from which
	// the limit is checked.
	limitGrace = 3 * time.Second
	// limitSpan is the length of the span in which calls are counted.
	limitSpan = 4 * time.Second
	// limitFactor and limitSlack are how much of its limit an upstream may get within limitSpan.
	limitFactor, limitSlack = 1.5, 5
	// limitNotice is the time after its first answer with a limit from which the calls of a host count.
	limitNotice = 500 * time.Millisecond
)

// check records a violation if the upstream has got more calls than its limit allows, summed over the hosts
// that know of the limit.
func (f *fleet) check(e *fleetEngine) {
	if e.namedAt.IsZero() || f.now.Before(e.namedAt.Add(limitGrace)) {
		return
	}
	allowance, isLimited := e.allowance(f.now)
	if !isLimited || !f.isCounted(e.arrivals[len(e.arrivals)-1], e) {
		return
	}
	count := 0
	for _, arrival := range e.arrivals {
		if f.isCounted(arrival, e) {
			count++
		}
	}
	if float64(count) > limitFactor*allowance+limitSlack {
		f.violations = append(f.violations, fmt.Sprintf("%s: %s got %d calls in 4 s, limit allows %.1f", f.now.Sub(f.start), e.id, count, limitFactor*allowance+limitSlack))
	}
}

// isCounted reports whether a call arrived within the last span, from a host that knows of the limit. A
// restart excuses the calls that the host sent before it and within limitGrace after it, a cut those that
// it sent meanwhile before it was told.
func (f *fleet) isCounted(arrival fleetArrival, e *fleetEngine) bool {
	told, isTold := arrival.host.told[e.id]
	if h := arrival.host; arrival.start != h.starts || h.starts > 1 && arrival.at.Sub(h.startedAt) < limitGrace {
		return false
	}
	if arrival.wasCut && arrival.at.Before(told) {
		return false
	}
	return isTold && f.now.Sub(told) >= limitNotice && f.now.Sub(arrival.at) < limitSpan
}

// allowance returns the calls that the limits of the last span allow, and false if there was a moment in it
// without a limit after the first one.
func (e *fleetEngine) allowance(now time.Time) (calls float64, isLimited bool) {
	const step = 10 * time.Millisecond
	for at := now.Add(-limitSpan); at.Before(now); at = at.Add(step) {
		rate, isKnown := e.toldLimit(at)
		if !isKnown || rate < 0 {
			return 0, false
		}
		calls += float64(rate) * step.Seconds()
	}
	return calls, true
}

// toldLimit returns the limit that hosts have to keep at a time, negative for none. The first one that an
// answer names applies to the time before it too; a lower one applies from limitNotice after the first answer
// that names it.
func (e *fleetEngine) toldLimit(at time.Time) (rate spoke.RequestRate, isKnown bool) {
	for _, limit := range e.limits {
		isHigher := isKnown && (limit.rate < 0 || rate >= 0 && limit.rate > rate)
		since := limit.toldAt.Add(limitNotice)
		if isHigher {
			since = limit.from
		}
		isTold := isHigher || !limit.toldAt.IsZero()
		if isTold && (!isKnown || !since.After(at)) {
			rate, isKnown = limit.rate, true
		}
	}
	return rate, isKnown
}

// countSince counts the calls that the upstream got since a time from the start of the fleet.
func (f *fleet) countSince(id spoke.UpstreamID, seconds float64) int {
	since := f.start.Add(time.Duration(seconds * float64(time.Second)))
	count := 0
	for _, arrival := range f.engines[id].arrivals {
		if !arrival.at.Before(since) {
			count++
		}
	}
	return count
}

func (f *fleet) assertKept() {
	f.t.Helper()
	assert.Assert(f.t, len(f.violations) == 0, "%d violations, first: %v", len(f.violations), f.violations[:min(3, len(f.violations))])
}

// Upstreams name limits in their answers. Guards against hosts that together send an upstream more calls than
// its limit, although each of them may keep it.
func TestHostsTogetherKeepTheLimitOfAnUpstream(t *testing.T) {
	for _, rate := range []spoke.RequestRate{0, 0.05, 0.4, 1, 2, 2.6, 3.2, 7, 20} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			f := newFleet(t, 7, 9)
			f.at(8, func() { f.limit("engine-3", rate) })
			f.run(25)
			f.assertKept()
			assert.Equal(t, len(f.refusals), 0, "%v", f.refusals)
			// The upstream still gets a good part of the calls that it accepts.
			assert.Assert(t, float64(f.countSince("engine-3", 13)) >= min(0.5*float64(rate), 4)*12-1, "%d calls", f.countSince("engine-3", 13))
		})
	}
}

// Guards against a limit of zero, whatever its sign, that lets calls through other than the one every 5 s which
// checks whether it has ended.
func TestLimitOfZeroGetsProbesOnly(t *testing.T) {
	for _, sign := range []float64{1, -1} {
		f := newFleet(t, 7, 9)
		f.at(8, func() { f.limit("engine-3", spoke.RequestRate(math.Copysign(0, sign))) })
		f.run(25)
		probes := f.countSince("engine-3", 9)
		assert.Assert(t, probes >= 1 && probes <= 4, "%d calls", probes)
	}
}

// Guards against the limit being exceeded while hosts join, restart, are cut off from each other or from the
// directory, and learn late of the limit or of other hosts.
func TestLimitIsKeptWhileHostsChange(t *testing.T) {
	scenarios := map[string]func(f *fleet){
		"join": func(f *fleet) {
			for _, at := range []float64{9, 12, 12.5, 16} {
				f.at(at, func() { f.join(); f.announce(300 * time.Millisecond) })
			}
		},
		"join, others learn late": func(f *fleet) {
			f.at(12, func() { f.join(); f.announce(2 * time.Second) })
		},
		"restart": func(f *fleet) {
			for i, at := range []float64{9, 12, 13, 15, 15.2} {
				h := f.hosts[i]
				f.at(at, func() { f.boot(h) })
			}
		},
		"stop and start": func(f *fleet) {
			for i, at := range []float64{9, 11, 13} {
				h := f.hosts[i]
				f.at(at, func() { h.isDown = true; f.announce(1500 * time.Millisecond) })
				f.at(at+3, func() { f.boot(h); f.announce(200 * time.Millisecond) })
			}
		},
		"cut off from other hosts": func(f *fleet) {
			for _, h := range f.hosts[:3] {
				f.at(9, func() { h.isCut = true })
				f.at(17, func() { h.isCut = false })
			}
		},
		"cut off before the limit is named": func(f *fleet) {
			for _, h := range f.hosts[2:5] {
				f.at(7, func() { h.isCut = true })
				f.at(13, func() { h.isCut = false })
			}
		},
		"all cut off": func(f *fleet) {
			for _, h := range f.hosts {
				f.at(10, func() { h.isCut = true })
				f.at(18, func() { h.isCut = false })
			}
		},
		"removed from the directory, but running": func(f *fleet) {
			for _, h := range f.hosts[:2] {
				f.at(10, func() { h.isFenced = true; f.announce(100 * time.Millisecond) })
				f.at(19, func() { h.isFenced = false; f.announce(100 * time.Millisecond) })
			}
		},
		"repeats": func(f *fleet) { f.brokenShare, f.shedShare, f.resumedShare = 0.05, 0.05, 0.05 },
	}
	for name, disturb := range scenarios {
		for _, rate := range []spoke.RequestRate{0.3, 2, 2.6, 9} {
			t.Run(fmt.Sprint(name, "/", rate), func(t *testing.T) {
				f := newFleet(t, 7, 9)
				f.at(8, func() { f.limit("engine-3", rate); f.limit("engine-5", rate) })
				disturb(f)
				f.run(25)
				f.assertKept()
			})
		}
	}
}

// Guards against a limit that is kept although it has changed or ended, and against calls above a limit that
// has just become lower.
func TestChangedAndEndedLimits(t *testing.T) {
	f := newFleet(t, 7, 9)
	f.at(6, func() { f.limit("engine-3", 9); f.limit("engine-4", 3); f.limit("engine-5", 0) })
	f.at(12, func() { f.limit("engine-3", 2); f.limit("engine-4", 12) })
	f.at(20, func() {
		f.limit("engine-3", -1)
		f.limit("engine-4", 1)
		f.limit("engine-5", -1)
	})
	f.run(32)
	f.assertKept()
	usual := f.countSince("engine-0", 28)
	for _, id := range []spoke.UpstreamID{"engine-3", "engine-5"} {
		assert.Assert(t, 2*f.countSince(id, 28) > usual, "%s: %d calls, engine-0: %d", id, f.countSince(id, 28), usual)
	}
	assert.Assert(t, f.countSince("engine-4", 28) <= limitFactor*4+limitSlack)
}

// Guards against a host that joins and sends calls to limited upstreams until the next full report.
func TestJoiningHostIsToldOfLimits(t *testing.T) {
	ts := newTestSchedulerFor(t, "host-1", 2)
	ts.handle(place.SetCell{Count: 1, Hosts: []spoke.HostID{"host-1"}, Members: []spoke.HostID{"host-1"}})
	granted := ts.grant(ts.request(0, "s", 100, 100))
	ts.handle(place.LimitNamed{Call: granted.Call, Limit: 2})
	ts.scheduler.LoadReport(ts.now, true)
	both := []spoke.HostID{"host-1", "host-2"}
	ts.handle(place.SetCell{Count: 1, Hosts: both, Members: both})
	assert.Assert(t, ts.scheduler.HasChanges())
	limits := ts.scheduler.LoadReport(ts.now, false).Limits
	assert.DeepEqual(t, limits, []spoke.UpstreamLimit{{Upstream: spoke.UpstreamStart{ID: granted.Upstream.ID}, Rate: 2, Sent: 1}})
}

// Guards against reports to other cells that take a limit out of the reports to the own cell, and against the
// end of a limit that is reported for ever.
func TestLimitIsReportedToAllHosts(t *testing.T) {
	ts := newTestScheduler(t, 1)
	ts.handle(place.SetCell{Cell: 0, Count: 2})
	first := ts.grant(ts.request(0, "s", 100, 100))
	ts.handle(place.LimitNamed{Call: first.Call, Limit: 2})
	want := []spoke.UpstreamLimit{{Upstream: spoke.UpstreamStart{ID: "engine-0"}, Rate: 2, Sent: 1}}
	other, hasContent := ts.scheduler.OtherCellReport(ts.now, 0)
	assert.Assert(t, hasContent)
	assert.DeepEqual(t, other.Limits, want)
	own := ts.scheduler.LoadReport(ts.now, false)
	assert.DeepEqual(t, own.Limits, want)
	rest, hasChanges := ts.scheduler.ForOtherCells(ts.now, own)
	assert.Assert(t, hasChanges)
	assert.DeepEqual(t, rest.Limits, want)
	assert.Equal(t, len(ts.scheduler.LoadReport(ts.now, false).Limits), 0)
	assert.DeepEqual(t, ts.scheduler.LoadReport(ts.now, true).Limits, want)

	ts.handle(place.SetCell{Cell: 0, Count: 1, Hosts: []spoke.HostID{"host-1"}, Members: []spoke.HostID{"host-1"}})
	ts.handle(place.Ended{Call: first.Call})
	for range 20 {
		ts.now = ts.now.Add(time.Second)
		granted := ts.grant(ts.request(0, "s", 100, 100))
		ts.handle(place.Began{Call: granted.Call, NamesNoLimit: true})
		ts.handle(place.Ended{Call: granted.Call})
		if ts.now.Sub(time.Unix(1000, 0)) < 10*time.Second {
			assert.Assert(t, ts.scheduler.LoadReport(ts.now, true).Limits[0].IsEnded)
		}
	}
	assert.Equal(t, len(ts.scheduler.LoadReport(ts.now, true).Limits), 0)
}

// Guards against a limit that outlives the start of the upstream which named it, or is lost while the
// upstream is not listed.
func TestLimitBelongsToTheStartOfAnUpstream(t *testing.T) {
	f := newFleet(t, 7, 9)
	f.at(6, func() { f.limit("engine-3", 1); f.limit("engine-4", 1) })
	f.at(12, func() {
		restarted := engine(3)
		restarted.Started = time.UnixMilli(5)
		f.engines["engine-3"].limits = nil
		f.engines["engine-3"].namedAt = time.Time{}
		for _, h := range f.hosts {
			h.handle(place.SetUpstreams{Listed: []spoke.ListedUpstream{restarted}, Removed: []spoke.UpstreamID{"engine-4"}})
		}
	})
	f.at(13, func() {
		for _, h := range f.hosts {
			h.handle(place.SetUpstreams{Listed: []spoke.ListedUpstream{engine(4)}})
		}
	})
	f.run(18)
	f.assertKept()
	assert.Assert(t, f.countSince("engine-3", 13) > 20, "%d calls", f.countSince("engine-3", 13))
}

// Guards against calls that wait in vain, or are sent all the same, when every upstream of their service has
// named a limit.
func TestCallsAboveAllLimitsAreRefusedAtOnce(t *testing.T) {
	for _, service := range []spoke.ServiceName{models, desk} {
		t.Run(string(service), func(t *testing.T) {
			f := newFleet(t, 7, 9)
			f.service = service
			f.at(6, func() {
				for id := range f.engines {
					f.limit(id, 2)
				}
			})
			f.run(20)
			f.assertKept()
			refused := f.refusals[place.RefusedLimited]
			assert.Assert(t, len(refused) > 100, "%d", len(refused))
			assert.Equal(t, len(f.refusals), 1, "%v", f.refusals)
			for _, retryAfter := range refused {
				assert.Assert(t, retryAfter > 0 && retryAfter <= 5*time.Second, "%s", retryAfter)
			}
			// A call whose turn comes just within its target is placed at the next tick.
			assert.Assert(t, f.longestWait <= 400*time.Millisecond+fleetReportInterval, "%s", f.longestWait)
		})
	}
}

// Guards against limits that only hold within a cell of hosts.
func TestLimitIsKeptOverCells(t *testing.T) {
	f := newFleet(t, 40, 24)
	f.callsPerSecond = 6
	f.at(6, func() {
		for i := range 8 {
			f.limit(engine(3*i).ID, spoke.RequestRate(i)/2)
		}
		f.limit("desk-0", 2)
	})
	f.at(10, func() {
		f.join()
		f.join()
		f.join()
		f.join()
		f.join()
		f.announce(200 * time.Millisecond)
	})
	f.at(13, func() { f.hosts[4].isDown = true; f.hosts[9].isDown = true; f.announce(time.Second) })
	f.run(20)
	f.assertKept()

	plain := newFleet(t, 40, 3)
	plain.service, plain.callsPerSecond = desk, 6
	plain.at(6, func() { plain.limit("desk-0", 5) })
	plain.run(15)
	plain.assertKept()
}
