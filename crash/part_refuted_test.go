package crash_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/crash"
)

const (
	// cutStep is the time between two reports, and between two attempts of a host.
	cutStep = 50 * time.Millisecond
	// cutEngines is the number of engines at which a cut-off host loses its connections.
	cutEngines = 9
)

// cutFleet is two hosts that exchange reports: all connections of the second are reset at some time, and new ones are
// refused.
type cutFleet struct {
	now        time.Time
	sound, cut *crash.PartRegistry
	next       int
}

func newCutFleet() *cutFleet {
	f := &cutFleet{now: start, sound: crash.NewPartRegistry(), cut: crash.NewPartRegistry()}
	hosts := []spoke.HostID{"sound", "cut"}
	f.sound.SetHosts("sound", hosts)
	f.cut.SetHosts("cut", hosts)
	return f
}

func (f *cutFleet) engine() spoke.UpstreamStart {
	return spoke.UpstreamStart{ID: spoke.UpstreamID(fmt.Sprint("engine-", f.next%cutEngines)), Started: start.Add(-time.Hour)}
}

// attempt lets an attempt at a request with a part end that was sent to an engine a moment ago.
func (f *cutFleet) attempt(host *crash.PartRegistry, engine spoke.UpstreamStart, part string, ending crash.PartEnding) {
	f.next++
	id := spoke.AttemptID(fmt.Sprint(f.next))
	host.Begin(f.now.Add(-cutStep/2), crash.PartAttempt{ID: id, Fingerprint: spoke.Fingerprint(id), Upstream: engine, Parts: promptOf(part)})
	if ending == crash.PartEndServed {
		host.Began(f.now, id)
	}
	host.End(f.now, id, ending)
}

// pass lets a time pass in which the sound host is served by all engines in turn.
func (f *cutFleet) pass(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(cutStep) {
		f.attempt(f.sound, f.engine(), "system", crash.PartEndServed)
		f.exchange()
	}
}

// exchange passes the reports of each host to the other one.
func (f *cutFleet) exchange() {
	for _, way := range [][2]*crash.PartRegistry{{f.sound, f.cut}, {f.cut, f.sound}} {
		if report, hasContent := way[0].Report(f.now, f.now.Sub(start)%time.Second == 0); hasContent {
			way[1].Receive(f.now, "other", report)
		}
	}
}

// A host loses its ways to engines that go on serving another one. Guards against broken connections of one host that
// make both refuse parts of its requests.
func TestLostWaysOfOneHostMarkNoPart(t *testing.T) {
	f := newCutFleet()
	for range 40 {
		f.attempt(f.cut, f.engine(), "system", crash.PartEndServed)
		f.pass(2 * cutStep)
	}
	for range 6 {
		f.attempt(f.cut, f.engine(), "part", crash.PartEndCrashed)
		f.pass(4 * cutStep)
	}
	f.pass(6 * time.Second)
	assert.Assert(t, !f.sound.Admit(f.now, promptOf("part")).IsBlocked, "at the sound host")
	assert.Assert(t, !f.cut.Admit(f.now, promptOf("part")).IsBlocked, "at the host that is cut off")
}

// Guards against answers of other starts, or of one that came back quickly, that are taken for those of an engine
// which has crashed.
func TestAnswersOfOtherStartsRefuteNoCrash(t *testing.T) {
	f := newCutFleet()
	for range 40 {
		f.attempt(f.cut, f.engine(), "system", crash.PartEndServed)
		f.pass(2 * cutStep)
	}
	for number := range 6 {
		crashed := spoke.UpstreamStart{ID: spoke.UpstreamID(fmt.Sprint("engine-", number)), Started: start.Add(-2 * time.Hour)}
		f.attempt(f.cut, crashed, "part", crash.PartEndCrashed)
		f.pass(4 * cutStep)
	}
	f.pass(6 * time.Second)
	assert.Assert(t, f.sound.Admit(f.now, promptOf("part")).IsBlocked, "at the sound host")
	assert.Assert(t, f.cut.Admit(f.now, promptOf("part")).IsBlocked, "at the host that saw the crashes")
}

// Guards against a crash that is taken back by an engine which is back after half a second, while its entry still names
// the start before.
func TestReturnedEngineRefutesNoCrash(t *testing.T) {
	const downTime = 500 * time.Millisecond
	f := newCutFleet()
	f.pass(2 * time.Second)
	for range 6 {
		engine := f.engine()
		f.attempt(f.cut, engine, "part", crash.PartEndCrashed)
		back := f.now.Add(downTime)
		for f.now.Before(back) {
			f.now = f.now.Add(cutStep)
			f.exchange()
		}
		f.attempt(f.sound, engine, "system", crash.PartEndServed)
		f.next++
	}
	for range 30 {
		f.now = f.now.Add(cutStep)
		f.exchange()
	}
	assert.Assert(t, f.sound.Admit(f.now, promptOf("part")).IsBlocked, "at the host that saw no crash")
	assert.Assert(t, f.cut.Admit(f.now, promptOf("part")).IsBlocked, "at the host that saw the crashes")
}
