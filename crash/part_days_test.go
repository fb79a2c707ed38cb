package crash_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
)

const (
	// faultBegin is the time from which requests with a deadly part arrive, in seconds.
	faultBegin = 4.0
	dayLength  = 34.0
	// rackEngines is the number of engines that fail together.
	rackEngines = 3
)

// assertKept checks the rule on requests that crash engines, and that no other request was refused.
func (f *partFleet) assertKept(t rapid.TB) {
	t.Helper()
	assert.Assert(t, f.overBudget() <= 3, "%d requests after the window, %d crashes", f.overBudget(), len(f.crashes))
	assert.Equal(t, f.wronglyBlocked, 0, "first: %s", f.blockedSound)
}

// newDay returns a fleet of nine engines with traffic, in which requests with the deadly parts arrive from
// faultBegin on.
func newDay(rt *rapid.T, deadly ...spoke.PartID) *partFleet {
	f := newPartFleet(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(3, 9).Draw(rt, "hosts"), 9, 1)
	for _, part := range deadly {
		f.deadly[part] = true
	}
	share := rapid.SampledFrom([]float64{0.01, 0.03, 0.05, 0.1}).Draw(rt, "share")
	f.startTraffic(partTraffic{
		perSecond:  rapid.Float64Range(10, 70).Draw(rt, "per-second"),
		faulty:     deadly,
		place:      rapid.IntRange(0, 4).Draw(rt, "place"),
		catalogues: rapid.IntRange(1, 20).Draw(rt, "catalogues"),
		sessions:   rapid.SampledFrom([]int{0, 10, 100}).Draw(rt, "sessions"),
	})
	f.at(faultBegin, func() { f.traffic.faultyShare = share })
	return f
}

// failRacks lets racks of engines fail at random times.
func (f *partFleet) failRacks(rt *rapid.T) {
	spread := time.Duration(rapid.IntRange(0, 2000).Draw(rt, "spread-ms")) * time.Millisecond
	for range rapid.IntRange(1, 3).Draw(rt, "racks") {
		rack := rapid.IntRange(0, 2).Draw(rt, "rack")
		f.at(rapid.Float64Range(2, 24).Draw(rt, "at"), func() {
			for _, e := range f.engines[rack*rackEngines : (rack+1)*rackEngines] {
				f.after(f.between(0, spread), func() { f.crash(e) })
			}
		})
	}
}

// Guards against a part that crashes engine after engine in requests of which no two are alike, and against
// blame of parts that these requests share with sound ones.
func TestCrashingPartIsRefusedWithinTheWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newDay(rt, "faulty")
		f.runTo(dayLength)
		f.assertKept(rt)
	})
}

// Guards against a second deadly part that hides behind the first, and against blame of the parts that are in
// the crashes of both.
func TestTwoCrashingPartsAreRefused(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newDay(rt, "faulty", "faulty-2")
		f.runTo(dayLength)
		f.assertKept(rt)
	})
}

// Guards against a part that escapes blame because it was served before it turned deadly.
func TestPartThatTurnsDeadlyIsRefused(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newDay(rt, "faulty")
		delete(f.deadly, "faulty")
		f.traffic.faultyShare = rapid.SampledFrom([]float64{0.03, 0.05}).Draw(rt, "early-share")
		f.at(faultBegin, func() { f.deadly["faulty"] = true })
		f.runTo(dayLength)
		f.assertKept(rt)
	})
}

// Guards against blame of parts that many requests contain while racks of engines fail.
func TestNoPartIsBlamedForRacksThatFail(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newDay(rt)
		f.failRacks(rt)
		f.runTo(dayLength)
		assert.Equal(rt, f.sound.blocked, 0, "first: %s", f.blockedSound)
	})
}

// Guards against crashes of other causes that hide a deadly part or add sound ones to it.
func TestCrashingPartIsRefusedWhileRacksFail(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newDay(rt, "faulty")
		f.failRacks(rt)
		f.runTo(dayLength)
		f.assertKept(rt)
	})
}

// Guards against blame of a sound part after a few crashes only.
func TestFewCrashesBlameNoSoundPart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newDay(rt, "faulty")
		wanted := rapid.IntRange(1, 4).Draw(rt, "crashes")
		f.onCrash = func() {
			if len(f.crashes) >= wanted {
				f.traffic.faultyShare = 0
			}
		}
		f.runTo(dayLength)
		f.assertKept(rt)
	})
}

// Guards against a part that is blamed by too few hosts, or of which a sound one is, when each tenth crash is
// not recognized and reports are lost.
func TestCrashingPartIsRefusedDespiteMissedCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newDay(rt, "faulty")
		f.missed, f.loss = 0.1, 0.05
		f.runTo(dayLength)
		f.assertKept(rt)
	})
}

// Guards against hosts that send a blamed part, or blame a sound one, after they joined, lost their state or
// were cut off from the others.
func TestCrashingPartIsRefusedWhileHostsChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newDay(rt, "faulty")
		for range rapid.IntRange(1, 6).Draw(rt, "changes") {
			h := f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(rt, "host")]
			at := rapid.Float64Range(2, 14).Draw(rt, "at")
			switch rapid.IntRange(0, 3).Draw(rt, "change") {
			case 0:
				f.at(at, func() { f.boot(h); f.announce(); f.noticeRestart(h) })
			case 1:
				f.at(at, func() { h.isDown = true; f.announce() })
				f.at(at+3, func() { f.boot(h); f.announce() })
			case 2:
				f.at(at, func() { h.isCut = true })
				// After the cut, the host is excused until it may be expected to know the others' marks.
				f.at(at+6, func() { h.isCut, h.countsFrom = false, f.now.Add(stableWindow) })
			default:
				f.at(at, func() { f.join(); f.announce() })
			}
		}
		f.runTo(dayLength)
		f.assertKept(rt)
	})
}

// Guards against a part that stays refused after it has turned sound: the first probe follows after 30 s, and
// after three turns of four seconds each host may send it.
func TestPartThatTurnsSoundIsServedAgain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newDay(rt, "faulty")
		f.at(26, func() { delete(f.deadly, "faulty") })
		f.runTo(85)
		assert.Equal(rt, f.wronglyBlocked, 0, "first: %s", f.blockedSound)
		blocked := f.sound.blocked
		f.runTo(95)
		assert.Equal(rt, f.sound.blocked, blocked)
	})
}

// Guards against probes that crash more engines than the rule allows while a part stays deadly for long.
func TestProbesOfADeadlyPartStayWithinTheBudget(t *testing.T) {
	for seed := range uint64(20) {
		f := newPartFleet(seed, 7, 9, 1)
		f.deadly["faulty"] = true
		f.startTraffic(partTraffic{perSecond: 20, faultyShare: 0.05, faulty: []spoke.PartID{"faulty"}, place: 2, catalogues: 8, sessions: 50})
		f.runTo(600)
		f.assertKept(t)
	}
}

// Guards against evidence that is not summed over cells of hosts with engines of their own.
func TestCrashingPartIsRefusedOverCells(t *testing.T) {
	for seed := range uint64(10) {
		cells := 5 + int(seed)%6
		f := newPartFleet(seed, 9*cells, 13*cells, cells)
		f.deadly["faulty"] = true
		f.startTraffic(partTraffic{perSecond: 20, faulty: []spoke.PartID{"faulty"}, place: int(seed), catalogues: 12, sessions: 50})
		f.at(faultBegin, func() { f.traffic.faultyShare = 0.01 * float64(1+seed%5) })
		f.runTo(24)
		f.assertKept(t)
	}
}
