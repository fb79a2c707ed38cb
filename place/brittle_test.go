package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

const (
	// brittleGrace is the time after the first answer that says that an upstream is brittle from which calls do not
	// wait in it any more and its rejections are checked.
	brittleGrace = 3 * time.Second
	// brittleFrom is when upstreams become brittle, in seconds from the start of the fleet.
	brittleFrom  = 4
	brittleSlots = 6
	// capacityOfBrittle is the number of calls a second that three upstreams with brittleSlots serve.
	capacityOfBrittle = 3 * brittleSlots / 0.4
	// heldByBroken is how long a call that broke holds its slot.
	heldByBroken = 100 * time.Millisecond
)

// fleetBrittle is the state of an upstream that becomes brittle.
type fleetBrittle struct {
	// most is the number of rejections within a second that it stands, negative once it is not brittle any more.
	most       int
	from       time.Time
	toldAt     time.Time
	running    int
	served     int
	falls      int
	rejections []fleetRejection
}

type fleetRejection struct {
	at time.Time
	// isInTouch says that the host whose call was rejected had no disturbance for brittleGrace.
	isInTouch bool
}

// isNamed reports whether answers say that the upstream is brittle.
func (b *fleetBrittle) isNamed(now time.Time) bool { return b.most >= 0 && !now.Before(b.from) }

// isStrict reports whether calls beyond the slots are rejected.
func (b *fleetBrittle) isStrict(now time.Time) bool {
	return b.isNamed(now) && !b.toldAt.IsZero() && !now.Before(b.toldAt.Add(brittleGrace))
}

// newBrittleFleet returns a fleet with three upstreams that become brittle, under a multiple of what these serve.
func newBrittleFleet(t *testing.T, hosts int, service spoke.ServiceName, load float64, most int) *fleet {
	t.Helper()
	f := newFleet(t, hosts, 3)
	f.service, f.callsPerSecond = service, load*capacityOfBrittle/float64(hosts)
	f.listed = f.listed[:3]
	if service == desk {
		for i := range f.listed {
			f.listed[i] = spoke.ListedUpstream{ID: spoke.UpstreamID(fmt.Sprintf("desk-%d", i)), Service: desk, DataCentre: "a"}
		}
	}
	f.engines = make(map[spoke.UpstreamID]*fleetEngine)
	for i := range f.listed {
		f.listed[i].Slots = brittleSlots
		e := &fleetEngine{id: f.listed[i].ID, service: 400 * time.Millisecond}
		e.brittle = &fleetBrittle{most: most, from: f.start.Add(brittleFrom * time.Second)}
		f.engines[e.id] = e
	}
	for _, h := range f.hosts {
		h.handle(place.SetUpstreams{IsSnapshot: true, Listed: f.listed})
	}
	return f
}

// arriveBrittle handles a call that reaches an upstream which becomes brittle.
func (f *fleet) arriveBrittle(e *fleetEngine, h *fleetHost, start int, g place.Grant) {
	b := e.brittle
	isNamed := b.isNamed(f.now)
	if h.isCut || h.isFenced {
		h.disturbedAt = f.now
	}
	if isNamed {
		f.after(fleetLatency, func() {
			if b.toldAt.IsZero() {
				b.toldAt = f.now
			}
		})
		f.tell(h, start, fleetLatency, place.BrittleNamed{Call: g.Call, Most: spoke.RejectionCount(b.most)})
	}
	if b.isStrict(f.now) && b.running >= brittleSlots {
		b.reject(f, h)
		f.tell(h, start, fleetLatency, place.Ended{Call: g.Call, Ending: place.EndRefused, IsRejectedForRoom: true})
		f.again(h, start, g)
		return
	}
	b.running++
	if f.random.Float64() < f.brokenShare {
		f.tell(h, start, fleetFirstEvent, place.Ended{Call: g.Call, Ending: place.EndBroken})
		f.after(fleetFirstEvent+heldByBroken, func() { b.running-- })
		return
	}
	if f.service == models {
		f.tell(h, start, fleetFirstEvent, place.Began{Call: g.Call, NamesNoBrittleness: !isNamed})
	}
	took := time.Duration((0.5 + f.random.Float64()) * float64(e.service))
	f.after(took, func() { b.running--; b.served++ })
	f.tell(h, start, took+fleetLatency, place.Ended{Call: g.Call, Ending: place.EndServed, NamesNoBrittleness: !isNamed})
}

// reject counts a rejection, and a fall if there are too many within a second and most are of hosts in touch.
func (b *fleetBrittle) reject(f *fleet, h *fleetHost) {
	isInTouch := f.now.Sub(h.disturbedAt) >= brittleGrace && f.now.Sub(h.startedAt) >= brittleGrace
	b.rejections = append(b.rejections, fleetRejection{f.now, isInTouch})
	recent, inTouch := 0, 0
	for _, rejection := range b.rejections {
		if f.now.Sub(rejection.at) < time.Second {
			recent++
			if rejection.isInTouch {
				inTouch++
			}
		}
	}
	if recent > b.most {
		b.rejections = nil
	}
	if recent > b.most && 2*inTouch > recent {
		b.falls++
		f.violations = append(f.violations, fmt.Sprintf("%s: %d rejections in a second, %d allowed", f.now.Sub(f.start), recent, b.most))
	}
}

// usedShare returns the fraction of the capacity of all upstreams that was used in a period.
func (f *fleet) usedShare(from, to float64) float64 {
	before := 0
	f.at(from, func() {
		for _, e := range f.engines {
			before += e.brittle.served
		}
	})
	f.run(to)
	served := -before
	for _, e := range f.engines {
		served += e.brittle.served
	}
	return float64(served) / ((to - from) * capacityOfBrittle)
}

// Guards against hosts that together have a brittle upstream reject more calls within a second than it stands, or that
// leave its slots unused to avoid that.
func TestHostsTogetherSpareBrittleUpstreams(t *testing.T) {
	for _, service := range []spoke.ServiceName{models, desk} {
		for _, load := range []float64{0.8, 3} {
			for _, most := range []int{0, 1, 3, 5, 20} {
				t.Run(fmt.Sprint(service, "/", load, "/", most), func(t *testing.T) {
					f := newBrittleFleet(t, 9, service, load, most)
					used := f.usedShare(8, 20)
					rejections := 0
					for _, e := range f.engines {
						rejections += len(e.brittle.rejections)
					}
					t.Logf("%.2f of the capacity used, %d rejections", used, rejections)
					f.assertKept()
					assert.Assert(t, used >= 0.6*min(load, 1), "%.2f", used)
				})
			}
		}
	}
}

// Guards against brittle upstreams that fall over more often than twice while hosts come, go and lose each other.
func TestBrittleUpstreamsAreSparedWhileHostsChange(t *testing.T) {
	for name, disturb := range disturbances {
		for _, most := range []int{1, 5} {
			t.Run(fmt.Sprint(name, "/", most), func(t *testing.T) {
				f := newBrittleFleet(t, 9, models, 3, most)
				f.brokenShare = 0.03
				for i, at := range []float64{3.5, 7, 9, 11, 13} {
					disturb(f, f.hosts[i], at, 3)
				}
				f.run(20)
				falls := 0
				for _, e := range f.engines {
					falls += e.brittle.falls
				}
				assert.Assert(t, falls <= 2, "%v", f.violations)
			})
		}
	}
}

// Guards against slots that stay divided between hosts although the upstream is not brittle any more.
func TestUpstreamCeasesToBeBrittle(t *testing.T) {
	f := newBrittleFleet(t, 9, models, 3, 0)
	f.at(10, func() {
		for _, e := range f.engines {
			e.brittle.most = -1
		}
	})
	for _, h := range f.hosts[1:] {
		f.at(12, func() { h.isDown = true })
	}
	f.at(12, func() { f.callsPerSecond = 3 * capacityOfBrittle })
	used := f.usedShare(14, 20)
	assert.Assert(t, used >= 0.8, "%.2f", used)
}

// Guards against a host that joins and sends calls to brittle upstreams until the next full report, and against reports to
// other cells that take them out of the reports to the own cell.
func TestBrittleUpstreamIsReportedToAllHosts(t *testing.T) {
	ts := newTestSchedulerFor(t, "host-1", 2)
	ts.handle(place.SetCell{Count: 1, Hosts: []spoke.HostID{"host-1"}, Members: []spoke.HostID{"host-1"}})
	granted := ts.grant(ts.request(0, "s", 100, 100))
	ts.handle(place.BrittleNamed{Call: granted.Call, Most: 2})
	ts.handle(place.Ended{Call: granted.Call, Ending: place.EndRefused, IsRejectedForRoom: true})
	want := []spoke.UpstreamBrittleness{{Upstream: spoke.UpstreamStart{ID: granted.Upstream.ID}, Most: 2, Rejected: 1}}
	own := ts.scheduler.LoadReport(ts.now, true)
	assert.DeepEqual(t, own.Brittle, want)
	rest, hasChanges := ts.scheduler.ForOtherCells(ts.now, own)
	assert.Assert(t, hasChanges)
	assert.DeepEqual(t, rest.Brittle, want)
	both := []spoke.HostID{"host-1", "host-2"}
	ts.handle(place.SetCell{Count: 1, Hosts: both, Members: both})
	assert.Assert(t, ts.scheduler.HasChanges())
	assert.DeepEqual(t, ts.scheduler.LoadReport(ts.now, false).Brittle, want)
	assert.Equal(t, len(ts.scheduler.LoadReport(ts.now, false).Brittle), 0)
}
