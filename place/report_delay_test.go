package place_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// lastUse and firstRefusal are ages of newer weights at which a host with schedulerLimit still uses replaced ones, and
// at which it no longer does.
const (
	lastUse      = 4200 * time.Millisecond
	firstRefusal = 4500 * time.Millisecond
	// hostTimeout is the time without reports after which the other state of a host is dropped.
	hostTimeout = 3 * time.Second
)

// newTestPair returns two hosts whose clocks have different readings.
func newTestPair(t *testing.T) (host, other *testScheduler) {
	t.Helper()
	host, other = newTestScheduler(t, 1), newTestSchedulerFor(t, "host-2", 1)
	other.now = other.now.Add(time.Hour)
	return host, other
}

// fullReport returns the full load report of a host as it would be sent now.
func (ts *testScheduler) fullReport() place.ReceiveReport {
	return place.ReceiveReport{Report: ts.scheduler.LoadReport(ts.now, true)}
}

// pass lets time pass on several hosts.
func pass(length time.Duration, hosts ...*testScheduler) {
	for _, ts := range hosts {
		ts.advance(length)
	}
}

// learn makes a host read from the directory that version 2 has been wanted for at most an estimated age.
func (ts *testScheduler) learn(atMost time.Duration) {
	wanted := spoke.WantedWeights{Model: model, Version: 2}
	ts.handle(place.SetWantedWeights{Wanted: wanted, Age: atMost, IsEstimate: true})
}

// assertAge fails the test unless newer weights count as wanted for the given age.
func (ts *testScheduler) assertAge(age time.Duration) {
	ts.t.Helper()
	ts.advance(lastUse - age)
	assert.Equal(ts.t, ts.grant(ts.request(0, "s", 100, 100)).Weights, spoke.WeightVersion(1))
	ts.advance(firstRefusal - lastUse)
	actions := ts.handle(ts.request(0, "s", 100, 100))
	refused, isRefused := actions[len(actions)-1].(place.Refuse)
	assert.Assert(ts.t, isRefused, "%#v", actions)
	assert.Equal(ts.t, refused.Reason, place.RefusedWeights)
}

// A link holds the report of a host back that reported in time before. Guards against an age that counts from its
// receipt, also if the host's other state has been dropped meanwhile.
func TestAgeInHeldBackReportIsRaised(t *testing.T) {
	for _, held := range []time.Duration{500 * time.Millisecond, 2 * time.Second, hostTimeout + 500*time.Millisecond} {
		host, other := newTestPair(t)
		host.handle(other.fullReport())
		pass(time.Second, host, other)
		other.setWanted(2)
		report := other.fullReport()
		pass(held, host, other)
		host.learn(held + 2*time.Second)
		host.handle(report)
		host.assertAge(held)
	}
}

// A sender, such as one of another cell, is silent before its report is held back. Guards against a delay that does not
// show because it is taken for a difference of the clocks.
func TestDelayBehindSilenceShows(t *testing.T) {
	for _, silent := range []time.Duration{10 * time.Second, 30 * time.Second, time.Minute} {
		host, other := newTestPair(t)
		host.handle(other.fullReport())
		pass(silent, host, other)
		other.setWanted(2)
		report, held := other.fullReport(), silent/100
		pass(held, host, other)
		host.learn(place.UnknownAge)
		host.handle(report)
		host.assertAge(held)
	}
}

// The first report of a host is held back. Guards against an age that stays too low although a later report arrives in
// time, whether it is known or estimated, and whether or not the later one names it.
func TestAgeInHeldBackFirstReportIsCorrected(t *testing.T) {
	const held = 2 * time.Second
	for name, set := range map[string]func(*testScheduler){
		"known":     func(other *testScheduler) { other.setWanted(2) },
		"estimated": func(other *testScheduler) { other.learn(0) },
	} {
		for _, isNamedAgain := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				host, other := newTestPair(t)
				set(other)
				first := other.fullReport()
				pass(held, host, other)
				host.learn(held + 2*time.Second)
				host.handle(first)
				second := other.fullReport()
				if !isNamedAgain {
					second.Report.WantedAges = nil
				}
				host.handle(second)
				host.assertAge(held)
			})
		}
	}
}

// The first report of a host is held back, and its age is a worse estimate than that of this host. Guards against an own
// estimate that is lost.
func TestOwnAgeHoldsAgainIfHeldBackOneIsCorrected(t *testing.T) {
	const held = 2 * time.Second
	host, other := newTestPair(t)
	other.learn(2 * time.Second)
	first := other.fullReport()
	pass(held, host, other)
	host.learn(held + time.Second)
	host.handle(first)
	host.handle(other.fullReport())
	host.assertAge(held + time.Second)
}

// Guards against a call that waits inside an engine until the next tick although a report shows that its weights are
// outdated.
func TestCallIsRecalledWhenAgeIsCorrected(t *testing.T) {
	host, other := newTestPair(t)
	stuck := host.grant(host.request(0, "s", 100, 100))
	other.setWanted(2)
	first := other.fullReport()
	pass(schedulerLimit, host, other)
	host.handle(first)
	second := other.fullReport()
	second.Report.WantedAges = nil
	actions := host.handle(second)
	assert.Assert(t, slices.Contains(actions, place.Action(place.Recall{Call: stuck.Call})), "%v", actions)
}

// Guards against reports of a restarted host that count as delayed since its clock starts anew.
func TestReportsOfRestartedHostAreNotDelayed(t *testing.T) {
	host, other := newTestPair(t)
	host.handle(other.fullReport())
	pass(time.Minute, host, other)
	restarted := newTestSchedulerFor(t, "host-2", 1)
	restarted.now = other.now
	restarted.setWanted(2)
	host.learn(2 * time.Second)
	host.handle(restarted.fullReport())
	host.assertAge(0)
}

// A report of the process before arrives behind the first one of a restarted host. Guards against one whose delay no
// longer shows.
func TestHeldBackReportOfEarlierProcessIsRaised(t *testing.T) {
	const held = 3500 * time.Millisecond
	host, other := newTestPair(t)
	for range 3 {
		host.handle(other.fullReport())
		pass(time.Second, host, other)
	}
	other.setWanted(2)
	report := other.fullReport()
	pass(held, host, other)
	restarted := newTestSchedulerFor(t, "host-2", 1)
	restarted.now = other.now
	host.handle(restarted.fullReport())
	host.learn(held + 2*time.Second)
	host.handle(report)
	host.assertAge(held)
}

// Guards against suspensions of the sender that make all its later reports look delayed.
func TestReportsBehindSuspensionOfSenderAreNotDelayed(t *testing.T) {
	host, other := newTestPair(t)
	host.handle(other.fullReport())
	pass(10*time.Second, host)
	other.handle(place.Suspended{For: 10 * time.Second})
	other.setWanted(2)
	host.learn(2 * time.Second)
	host.handle(other.fullReport())
	host.assertAge(0)
}

// Guards against an age that leaves out a suspension of the receiver with the report unread, or of the sender between
// writing and sending it.
func TestAgeInReportIncludesSuspensions(t *testing.T) {
	const suspended = 3 * time.Second
	for name, suspend := range map[string]func(host, other *testScheduler){
		"receiver": func(host, other *testScheduler) {
			host.handle(place.Suspended{For: suspended})
			pass(suspended, other)
		},
		"sender": func(host, other *testScheduler) {
			pass(suspended, host)
			other.handle(place.Suspended{For: suspended})
		},
	} {
		t.Run(name, func(t *testing.T) {
			host, other := newTestPair(t)
			host.handle(other.fullReport())
			pass(time.Second, host, other)
			other.setWanted(2)
			report := other.fullReport()
			suspend(host, other)
			host.learn(suspended + 2*time.Second)
			host.handle(report)
			host.assertAge(suspended)
		})
	}
}

// reportsOfClock delivers a report each second for a time, sent in time by a clock that gains the given share, and
// returns the last reading.
func (ts *testScheduler) reportsOfClock(length time.Duration, start time.Duration, gain float64) spoke.HostReport {
	report := spoke.HostReport{Host: "host-2", IsSnapshot: true}
	for elapsed := time.Duration(0); elapsed <= length; elapsed += time.Second {
		report.Sequence++
		report.Sent = spoke.SentTime{Clock: 7, Reading: start + time.Duration(float64(elapsed)*(1+gain))}
		ts.handle(place.ReceiveReport{Report: report})
		if elapsed < length {
			ts.now = ts.now.Add(time.Second)
		}
	}
	report.Sequence++
	report.WantedAges = []spoke.WantedAge{{Wanted: spoke.WantedWeights{Model: model, Version: 2}}}
	return report
}

// Clocks differ by as much as they are adjusted at most. Guards against reports that look delayed, and against delays
// that no longer show.
func TestDelaysShowAlthoughClocksDrift(t *testing.T) {
	for _, gain := range []float64{-0.001, 0.001} {
		for _, held := range []time.Duration{0, 2 * time.Second} {
			host := newTestScheduler(t, 1)
			report := host.reportsOfClock(time.Hour, 0, gain)
			host.now = host.now.Add(held)
			host.learn(held + 2*time.Second)
			host.handle(place.ReceiveReport{Report: report})
			host.assertAge(held)
		}
	}
}

// reportOfWrongTransit returns a report whose transit time is measured five seconds too short, as behind a suspension
// that was not counted yet.
func reportOfWrongTransit(sequence uint64) place.ReceiveReport {
	return place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: sequence, Sent: spoke.SentTime{Clock: 7, Reading: 5 * time.Second}}}
}

// Guards against a known age that is given up for one that only looks delayed.
func TestKnownAgeHoldsAgainstRaisedOne(t *testing.T) {
	host := newTestScheduler(t, 1)
	host.handle(reportOfWrongTransit(1))
	host.now = host.now.Add(hostTimeout)
	host.setWanted(2)
	host.handle(place.ReceiveReport{Report: host.reportsOfClock(0, hostTimeout, 0)})
	host.assertAge(0)
}

// Guards against a known age that replaces one which was corrected by mistake only if it is higher.
func TestKnownAgeReplacesCorrectedOne(t *testing.T) {
	host := newTestScheduler(t, 1)
	report := host.reportsOfClock(time.Second, 0, 0)
	host.handle(place.ReceiveReport{Report: report})
	host.handle(reportOfWrongTransit(report.Sequence + 1))
	report.Host, report.Sent = "host-3", spoke.SentTime{}
	host.handle(place.ReceiveReport{Report: report})
	host.assertAge(0)
}

// The transit time of a sender's first report was measured five seconds too short. Guards against all its later reports
// counting as delayed for ever.
func TestTransitTimeThatWasMeasuredTooShortIsForgotten(t *testing.T) {
	host := newTestScheduler(t, 1)
	host.handle(reportOfWrongTransit(1))
	host.now = host.now.Add(hostTimeout)
	report := host.reportsOfClock(9*time.Minute, hostTimeout, 0)
	host.learn(2 * time.Second)
	host.handle(place.ReceiveReport{Report: report})
	host.assertAge(0)
}

// Guards against ages that hosts of an earlier version report, which do not say when, not being taken over.
func TestAgeInReportWithoutSentTimeIsTakenOver(t *testing.T) {
	host, other := newTestPair(t)
	other.setWanted(2)
	host.learn(2 * time.Second)
	report := other.fullReport()
	report.Report.Sent = spoke.SentTime{}
	host.handle(report)
	host.assertAge(0)
}

// Guards against ages that go from host to host, so that none of them can correct them, and against one that hides the
// age which the host has read itself.
func TestHostsReportAgesOfTheDirectoryAlone(t *testing.T) {
	host, other := newTestPair(t)
	other.setWanted(2)
	host.handle(other.fullReport())
	assert.Equal(t, len(host.fullReport().Report.WantedAges), 0)
	host.learn(2 * time.Second)
	assert.DeepEqual(t, host.fullReport().Report.WantedAges, []spoke.WantedAge{
		{Wanted: spoke.WantedWeights{Model: model, Version: 2}, Age: 2 * time.Second, IsEstimate: true},
	})
}

// Guards against bytes in each of many reports a second.
func TestOnlySnapshotsSayWhenTheyWereSent(t *testing.T) {
	ts := newTestScheduler(t, 1)
	full := ts.scheduler.LoadReport(ts.now, true)
	assert.Assert(t, full.Sent.Clock != 0)
	toOtherCells, _ := ts.scheduler.ForOtherCells(ts.now, full)
	assert.Equal(t, toOtherCells.Sent, spoke.SentTime{})
	assert.Equal(t, ts.scheduler.LoadReport(ts.now, false).Sent, spoke.SentTime{})
	ofCell, _ := ts.scheduler.OtherCellReport(ts.now, 0)
	assert.Equal(t, ofCell.Sent.Clock, full.Sent.Clock)
}
