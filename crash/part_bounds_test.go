package crash_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/crash"
)

const day = 24 * time.Hour

// promptOf returns the parts of a prompt that ends with a part of its own.
func promptOf(ids ...string) []spoke.PromptPart {
	parts := make([]spoke.PromptPart, 0, len(ids)+1)
	for _, id := range append(ids, "own") {
		parts = append(parts, spoke.PromptPart{ID: spoke.PartID(id), Tokens: 1})
	}
	return parts
}

// crashOn lets a request with these parts crash an upstream.
func crashOn(r *crash.PartRegistry, now time.Time, name string, parts []spoke.PromptPart) {
	r.Begin(now, crash.PartAttempt{
		ID: spoke.AttemptID(name), Fingerprint: spoke.Fingerprint(name), Upstream: spoke.UpstreamStart{ID: spoke.UpstreamID(name)}, Parts: parts,
	})
	r.End(now.Add(100*time.Millisecond), spoke.AttemptID(name), crash.PartEndCrashed)
}

// markReport returns the report of a mark of "part".
func markReport(revision uint64, remaining time.Duration) spoke.CrashReport {
	return spoke.CrashReport{Marks: []spoke.PartMark{{Part: crash.HashPart("part"), Revision: revision, Term: 30 * time.Second, Remaining: remaining}}}
}

// Guards against reports of a malfunctioning host that make a registry grow without bound, keep marks for ever
// or fail on values out of range.
func TestMalformedCrashReportsStayWithinBounds(t *testing.T) {
	r := crash.NewPartRegistry()
	r.SetHosts("host-1", []spoke.HostID{"host-1", "host-2"})
	var report spoke.CrashReport
	for i := range 20_000 {
		hash := spoke.PartHash(i)
		report.Marks = append(report.Marks, spoke.PartMark{Part: hash, Revision: 1, Term: day, Remaining: day, With: make([]spoke.PartHash, 100)})
		report.Served = append(report.Served, spoke.ServedPart{Part: hash, Age: -day})
		report.Refuted = append(report.Refuted, spoke.RefutedCrash{Upstream: spoke.UpstreamStart{ID: spoke.UpstreamID(fmt.Sprint(i))}, Age: time.Duration(i-5) * time.Millisecond})
		report.Crashes = append(report.Crashes, spoke.UpstreamCrash{Upstream: spoke.UpstreamStart{ID: spoke.UpstreamID(fmt.Sprint(i))}, Age: time.Duration(i-5) * time.Millisecond, Parts: make([]spoke.PartHash, 5000)})
	}
	for range 3 {
		r.Receive(start, "host-2", report)
	}
	r.ResendAll()
	own, hasContent := r.Report(start, true)
	assert.Assert(t, hasContent)
	assert.Assert(t, len(own.Marks) <= 64)
	for _, m := range own.Marks {
		assert.Assert(t, m.Remaining <= 10*time.Minute && len(m.With) <= 16)
	}
	r.Receive(start, "host-2", markReport(1<<60, time.Minute))
	r.Receive(start, "host-2", markReport(0, time.Minute))
	assert.Assert(t, !r.Admit(start, promptOf("part")).IsBlocked)
}

// Guards against a prompt of very many parts that takes much time, or makes reports exceed a datagram.
func TestLongListOfPartsStaysWithinBounds(t *testing.T) {
	r := crash.NewPartRegistry()
	var ids []string
	for i := range 10_000 {
		ids = append(ids, fmt.Sprint("part-", i))
	}
	for i := range 100 {
		crashOn(r, start.Add(time.Duration(i)*time.Second), fmt.Sprint("engine-", i), promptOf(ids...))
	}
	report, _ := r.Report(start.Add(100*time.Second), true)
	parts := len(report.Served)
	for _, c := range report.Crashes {
		parts += len(c.Parts) + len(c.Repeated)
	}
	assert.Assert(t, parts <= 512, "%d parts", parts)
	assert.Assert(t, len(report.Crashes) <= 32)
}

// Guards against a host that joins and sends requests with a marked part until the next crashes.
func TestJoiningHostIsToldOfMarks(t *testing.T) {
	r := crash.NewPartRegistry()
	r.SetHosts("host-1", []spoke.HostID{"host-1", "host-2"})
	r.Receive(start, "host-2", markReport(1, 30*time.Second))
	_, _ = r.Report(start, false)
	assert.Assert(t, !r.HasChanges())
	r.SetHosts("host-1", []spoke.HostID{"host-1", "host-2", "host-3"})
	assert.Assert(t, r.HasChanges())
	report, hasContent := r.Report(start, false)
	assert.Assert(t, hasContent)
	joined := crash.NewPartRegistry()
	joined.Receive(start, "host-1", report)
	verdict := joined.Admit(start, promptOf("part"))
	assert.Assert(t, verdict.IsBlocked)
	assert.Assert(t, verdict.Until.Equal(start.Add(30*time.Second)))
	assert.Equal(t, verdict.Part, crash.HashPart("part"))
	// The last part of a prompt belongs to the request itself.
	assert.Assert(t, !joined.Admit(start, promptOf("part")[:1]).IsBlocked)
}

// Guards against reports that go back and forth and prolong a mark, and against an older report that ends one.
func TestMarksAreNotProlongedByTheirEcho(t *testing.T) {
	r := crash.NewPartRegistry()
	r.Receive(start, "host-2", markReport(2, 30*time.Second))
	r.Receive(start.Add(20*time.Second), "host-2", markReport(2, 30*time.Second))
	old := markReport(1, 0)
	old.Marks[0].IsEnded = true
	r.Receive(start.Add(20*time.Second), "host-3", old)
	assert.Assert(t, r.Admit(start.Add(20*time.Second), promptOf("part")).Until.Equal(start.Add(30*time.Second)))
}

// Guards against several probes at a time, and against a mark that stays after a probe was served, or that
// has no longer term after the probe crashed.
func TestProbeDecidesOnTheMark(t *testing.T) {
	for _, ending := range []crash.PartEnding{crash.PartEndServed, crash.PartEndCrashed} {
		r := crash.NewPartRegistry()
		r.SetHosts("host-1", []spoke.HostID{"host-1"})
		r.Receive(start, "host-2", markReport(1, 30*time.Second))
		now := start.Add(31 * time.Second)
		probe := crash.PartAttempt{ID: "a", Fingerprint: "a", Upstream: spoke.UpstreamStart{ID: "engine"}, Parts: promptOf("part")}
		assert.Assert(t, !r.Begin(now, probe).IsBlocked)
		assert.Assert(t, r.Admit(now, promptOf("part")).IsBlocked)
		r.End(now.Add(time.Second), "a", ending)
		verdict := r.Admit(now.Add(2*time.Second), promptOf("part"))
		assert.Equal(t, verdict.IsBlocked, ending == crash.PartEndCrashed)
		if verdict.IsBlocked {
			assert.Assert(t, verdict.Until.Sub(now) > 2*time.Minute)
		}
		assert.Assert(t, r.HasChanges())
	}
}

// Guards against one crash that counts once for each host that observes it.
func TestCrashSeenByManyHostsCountsOnce(t *testing.T) {
	r := crash.NewPartRegistry()
	now := start
	for i := range 10 {
		// Other requests are served, so that the evidence counts.
		id := spoke.AttemptID(fmt.Sprint("sound-", i))
		r.Begin(now, crash.PartAttempt{ID: id, Upstream: spoke.UpstreamStart{ID: "other"}, Parts: promptOf("sound")})
		r.Began(now, id)
		now = now.Add(time.Second)
		r.End(now, id, crash.PartEndServed)
	}
	for i := range 9 {
		observed := spoke.UpstreamCrash{
			Upstream: spoke.UpstreamStart{ID: "engine", Started: start}, Age: time.Duration(i*300) * time.Millisecond,
			Parts: []spoke.PartHash{crash.HashPart("part")},
		}
		r.Receive(now, spoke.HostID(fmt.Sprint("host-", i)), spoke.CrashReport{Crashes: []spoke.UpstreamCrash{observed}})
	}
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		assert.Assert(t, !r.Admit(now, promptOf("part")).IsBlocked)
	}
}

// Guards against a registry that holds up all calls of a host while it compares thousands of suspects with
// each other.
func TestManySuspectsAreJudgedQuickly(t *testing.T) {
	r := crash.NewPartRegistry()
	now := start
	r.Begin(now, crash.PartAttempt{ID: "served", Fingerprint: "served", Upstream: spoke.UpstreamStart{ID: "engine"}, Parts: promptOf("part")})
	r.End(now, "served", crash.PartEndServed)
	now = now.Add(10 * time.Second)
	for i := range 64 {
		for host := range 4 {
			observed := spoke.UpstreamCrash{Upstream: spoke.UpstreamStart{ID: spoke.UpstreamID(fmt.Sprint(i))}}
			for part := range 64 {
				observed.Parts = append(observed.Parts, spoke.PartHash((i/3)*256+host*64+part))
			}
			r.Receive(now, spoke.HostID(fmt.Sprint("host-", host)), spoke.CrashReport{Crashes: []spoke.UpstreamCrash{observed}})
		}
		now = now.Add(200 * time.Millisecond)
	}
	begun := time.Now()
	for range 5 {
		now = now.Add(60 * time.Millisecond)
		r.Admit(now, promptOf("part"))
	}
	assert.Assert(t, time.Since(begun) < time.Second, "%s", time.Since(begun))
}
