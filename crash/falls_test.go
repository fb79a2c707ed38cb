package crash_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
)

const (
	// brittleMost is the number of rejections that the engines of these tests stand.
	brittleMost = 5
	// brittleDown is the time for which an engine is away after a crash.
	brittleDown = 2 * time.Second
	// crowd is the number of sound requests of a host that an engine runs when it crashes.
	crowd = 40
)

// brittleFleet is a set of hosts whose brittle engines reject so many requests that each crash may be a fall.
type brittleFleet struct {
	*markHosts
	upAt  []time.Time
	calls int
}

func newBrittleFleet(hosts, engines int) *brittleFleet {
	f := &brittleFleet{markHosts: newMarkHosts(hosts), upAt: make([]time.Time, engines)}
	for host := range hosts {
		for engine := range engines {
			f.registries[host].NoteBrittle(f.now, engineID(engine), brittleMost, false)
		}
	}
	return f
}

func engineID(engine int) spoke.UpstreamID { return spoke.UpstreamID(fmt.Sprint("engine-", engine)) }

// reject makes the engine reject count requests of a host.
func (f *brittleFleet) reject(host, engine, count int) {
	for range count {
		f.registries[host].NoteBrittle(f.now, engineID(engine), brittleMost, true)
	}
}

// reportRejections tells all other hosts of the rejections of one.
func (f *brittleFleet) reportRejections(host, engine, count int) {
	for other, registry := range f.registries {
		if other != host {
			registry.ReceiveBrittle(f.now, spoke.HostID(fmt.Sprint("host-", host)), []spoke.UpstreamBrittleness{{
				Upstream: spoke.UpstreamStart{ID: engineID(engine)}, Most: brittleMost, Rejected: spoke.RejectionCount(count),
			}})
		}
	}
}

// crashUnder ends requests with these fingerprints, sent by a host just before, by a crash of the engine.
func (f *brittleFleet) crashUnder(host, engine int, fingerprints ...spoke.Fingerprint) {
	for _, fingerprint := range fingerprints {
		f.calls++
		attempt := spoke.AttemptID(fmt.Sprint("call-", f.calls))
		f.registries[host].Begin(f.now.Add(-time.Millisecond), attempt, engineID(engine), fingerprint)
		f.registries[host].End(f.now, attempt, true)
	}
	f.upAt[engine] = f.now.Add(brittleDown)
}

// serve makes a host get an answer of the engine to a request sent at a time.
func (f *brittleFleet) serve(host, engine int, fingerprint spoke.Fingerprint, sentAt time.Time) {
	f.calls++
	attempt := spoke.AttemptID(fmt.Sprint("call-", f.calls))
	f.registries[host].Begin(sentAt, attempt, engineID(engine), fingerprint)
	f.registries[host].EndServed(f.now, attempt)
}

func (f *brittleFleet) isRefused(host int, fingerprint spoke.Fingerprint) bool {
	f.calls++
	request := spoke.RequestID(fmt.Sprint("request-", f.calls))
	return !f.registries[host].Admit(f.now, request, fingerprint).Until.IsZero()
}

// runDeadly sends the deadly request to one host after the other, beside sound ones, for a quarter of an hour and returns
// the crashes and how many of them were sent later than 3 s after the third.
func (f *brittleFleet) runDeadly(interval time.Duration) (crashes, late int) {
	var third time.Time
	begin, exchanged := f.now, f.now
	for step := 0; f.now.Sub(begin) < 15*time.Minute; step++ {
		if f.now.Sub(exchanged) >= time.Second {
			f.exchange()
			exchanged = f.now
		}
		host := step % len(f.registries)
		engine := slices.IndexFunc(f.upAt, func(at time.Time) bool { return !at.After(f.now) })
		if engine >= 0 && !f.isRefused(host, deadly) {
			f.reject(host, engine, brittleMost)
			f.crashUnder(host, engine, deadly)
			for i := range crowd {
				f.crashUnder(host, engine, spoke.Fingerprint(fmt.Sprint("sound-", step, "-", i)))
			}
			if crashes++; crashes == 3 {
				third = f.now
			}
			if crashes > 3 && f.now.Sub(third) > 3*time.Second {
				late++
			}
		}
		f.now = f.now.Add(interval)
	}
	return crashes, late
}

// Guards against a deadly request that reaches engines again and again since each of its crashes is taken for the fall of a
// brittle engine. Three may be sent later than 3 s after the third crash.
func TestDeadlyRequestAtBrittleEnginesIsRefused(t *testing.T) {
	for _, engines := range []int{1, 3, 9} {
		for _, interval := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
			f := newBrittleFleet(9, engines)
			crashes, late := f.runDeadly(interval)
			t.Logf("%d engines, every %s: %d crashes, %d late", engines, interval, crashes, late)
			assert.Check(t, late <= 3, "%d engines, every %s: %d of %d requests that crashed engines were late", engines, interval, late, crashes)
		}
	}
}

// Guards against a sound request that is refused after engines that ran it have fallen over, also if the hosts learn from
// each other how many requests the engines rejected, and only after the falls.
func TestRequestHitByFallsIsNotRefused(t *testing.T) {
	for name, tell := range map[string]func(f *brittleFleet, engine int, fall func()){
		"own rejections": func(f *brittleFleet, engine int, fall func()) {
			f.reject(0, engine, 3)
			fall()
		},
		"reported before": func(f *brittleFleet, engine int, fall func()) {
			f.reject(0, engine, 1)
			f.reportRejections(1, engine, 2)
			fall()
		},
		"reported late": func(f *brittleFleet, engine int, fall func()) {
			f.reject(0, engine, 1)
			fall()
			f.exchange()
			f.now = f.now.Add(100 * time.Millisecond)
			f.reject(1, engine, 2)
			f.reportRejections(0, engine, 1)
			f.reportRejections(1, engine, 2)
		},
	} {
		f := newBrittleFleet(3, 3)
		for engine := range 3 {
			tell(f, engine, func() { f.crashUnder(0, engine, "sound") })
			f.exchange()
			f.now = f.now.Add(time.Second)
			f.exchange()
		}
		for host := range f.registries {
			assert.Check(t, !f.isRefused(host, "sound"), "%s, host %d", name, host)
		}
	}
}

// Guards against falls that keep a host from adopting the marks of others, and from counting crashes that no rejection
// explains.
func TestFallKeepsNoMarkFromOthers(t *testing.T) {
	f := newBrittleFleet(3, 3)
	f.reject(1, 0, 3)
	f.crashUnder(1, 0, deadly)
	f.now = f.now.Add(2 * time.Second)
	f.crashUnder(0, 1, deadly)
	f.crashUnder(0, 2, deadly)
	f.exchange()
	for host := range f.registries {
		assert.Check(t, f.isRefused(host, deadly), "host %d", host)
	}
}

// Guards against a request that runs so often that all falls hit it, and is refused although it is served between them: by
// one host, while the others only learn of the falls.
func TestAnswerTakesFallsBackAtAllHosts(t *testing.T) {
	f := newBrittleFleet(3, 3)
	for fall := range 6 {
		engine := fall % 3
		f.reject(0, engine, 3)
		f.crashUnder(0, engine, "popular")
		f.exchange()
		f.now = f.now.Add(2 * time.Second)
		f.serve(0, engine, "popular", f.now.Add(-time.Second))
		f.exchange()
		f.now = f.now.Add(time.Second)
	}
	for host := range f.registries {
		assert.Check(t, !f.isRefused(host, "popular"), "host %d", host)
	}
}

// Guards against an answer that does not count since its attempt began before the last fall.
func TestAnswerTakesFallsBack(t *testing.T) {
	f := newBrittleFleet(2, 4)
	for engine := range 4 {
		f.reject(0, engine, 3)
		sentAt := f.now.Add(-10 * time.Millisecond)
		f.crashUnder(0, engine, "popular")
		f.exchange()
		f.now = f.now.Add(time.Second)
		if engine == 2 {
			f.serve(0, 3, "popular", sentAt)
		}
	}
	assert.Assert(t, !f.isRefused(0, "popular"))
}
