package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

const doubtTime = 2 * time.Second

// doubt reports that a host could not connect to engines.
func (ts *testScheduler) doubt(host spoke.HostID, sequence uint64, engines ...int) []place.Action {
	doubts := make(map[spoke.UpstreamID]time.Duration)
	for _, number := range engines {
		doubts[engine(number).ID] = doubtTime
	}
	return ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: host, Sequence: sequence, Doubts: doubts}})
}

// used places calls at the same time and returns how many each engine got.
func (ts *testScheduler) used(calls int) map[spoke.UpstreamID]int {
	used := make(map[spoke.UpstreamID]int)
	for i := range calls {
		granted := ts.grant(ts.request(0, fmt.Sprint("session-", i), 20, 20))
		used[granted.Upstream.ID]++
		defer ts.handle(place.Ended{Call: granted.Call, Ending: place.EndCancelled})
	}
	return used
}

// Guards against a crash that each host has to find out by a failed call of its own.
func TestCrashOfAThirdOfTheEnginesIsPassedOn(t *testing.T) {
	for _, crashed := range [][]int{{4}, {0, 4, 8}} {
		ts := newTestScheduler(t, 9)
		ts.doubt("host-2", 1, crashed...)
		used := ts.used(60)
		assert.Equal(t, len(used), 9-len(crashed))
		for _, number := range crashed {
			assert.Equal(t, used[engine(number).ID], 0)
		}
		ts.advance(doubtTime)
		assert.Equal(t, len(ts.used(60)), 9, "the doubts have ended")
	}
}

// Guards against an engine that serves this host or a third one and is avoided on the word of another host.
func TestProgressEndsADoubt(t *testing.T) {
	t.Run("own call", func(t *testing.T) {
		ts := newTestScheduler(t, 3)
		granted := ts.grant(ts.request(0, "s", 20, 20))
		ts.handle(place.ReceiveReport{Report: spoke.HostReport{
			Host: "host-2", Sequence: 1, Doubts: map[spoke.UpstreamID]time.Duration{granted.Upstream.ID: doubtTime},
		}})
		assert.Equal(t, len(ts.used(20)), 2)
		ts.now = ts.now.Add(10 * time.Millisecond)
		ts.handle(place.Began{Call: granted.Call})
		assert.Equal(t, len(ts.used(20)), 3)
	})
	t.Run("call of a third host", func(t *testing.T) {
		ts := newTestScheduler(t, 3)
		load := func(sequence uint64, prefill spoke.TokenCount) {
			ts.now = ts.now.Add(10 * time.Millisecond)
			ts.handle(place.ReceiveReport{Report: spoke.HostReport{
				Host: "host-3", Sequence: sequence, Upstreams: []spoke.HostUpstreamLoad{{Upstream: "engine-1", Runs: 1, Prefill: prefill}},
			}})
		}
		load(1, 100)
		ts.doubt("host-2", 1, 1)
		assert.Equal(t, len(ts.used(20)), 2)
		load(2, 0)
		assert.Equal(t, len(ts.used(20)), 3)
	})
}

// Guards against a host without ways of its own whose word keeps all others from engines.
func TestHostThatDoubtsMostEnginesIsNotBelieved(t *testing.T) {
	ts := newTestScheduler(t, 9)
	assert.Equal(t, len(ts.doubt("host-2", 1, 0, 1, 2, 3)), 0)
	assert.Equal(t, len(ts.used(60)), 5)
	assert.DeepEqual(t, ts.doubt("host-2", 2, 4, 5), []place.Action{
		place.DoubtsIgnored{Host: "host-2", Service: models, Doubted: 6, Upstreams: 9},
	})
	assert.Equal(t, len(ts.used(60)), 9)

	ts.advance(doubtTime)
	ts.doubt("host-2", 3, 7)
	assert.Equal(t, len(ts.used(60)), 9, "it does not count soon after")

	ts.advance(3 * time.Second)
	ts.doubt("host-2", 4, 7)
	assert.Equal(t, len(ts.used(60)), 8, "it counts again")
}

// Guards against calls that wait or are refused on the word of others alone.
func TestDoubtsAloneKeepNoCallWaiting(t *testing.T) {
	ts := newTestScheduler(t, 4)
	ts.doubt("host-2", 1, 0, 1)
	ts.doubt("host-3", 1, 2, 3)
	assert.Equal(t, len(ts.used(20)), 4)
}

// Guards against capacity that doubts remove from the estimate by which calls are refused.
func TestDoubtsDoNotRefuseCalls(t *testing.T) {
	accepted := func(doubted ...int) (accepted int) {
		ts := newTestScheduler(t, 2)
		ts.doubt("host-2", 1, doubted...)
		for range 200 {
			for _, action := range ts.handle(ts.request(2, "s", 8000, 4000)) {
				if _, isRefusal := action.(place.Refuse); isRefusal {
					return accepted
				}
			}
			accepted++
		}
		return accepted
	}
	usual := accepted()
	// The engine that is doubted does not take the call that it would take at once.
	assert.Assert(t, accepted(0) >= usual-1, "%d of %d", accepted(0), usual)
	assert.Equal(t, accepted(0, 1), usual)
}

// Guards against doubts that outlive the host's discovery that its own ways are lost.
func TestLostWaysWithdrawDoubts(t *testing.T) {
	doubting, other := newTestSchedulerFor(t, "host-2", 3), newTestScheduler(t, 3)
	granted := doubting.grant(doubting.request(0, "s", 20, 20))
	doubting.handle(place.Ended{Call: granted.Call, Ending: place.EndUnreachable})
	other.handle(place.ReceiveReport{Report: doubting.scheduler.LoadReport(doubting.now, false)})
	assert.Equal(t, len(other.used(20)), 2)

	doubting.handle(place.WaysLost{})
	other.handle(place.ReceiveReport{Report: doubting.scheduler.LoadReport(doubting.now, false)})
	assert.Equal(t, len(other.used(20)), 3)
}

// Guards against waiting calls that go to an engine which has crashed when a caller there leaves.
func TestWaitingCallsAvoidDoubtedEngines(t *testing.T) {
	ts := newTestScheduler(t, 2)
	var running []place.Grant
	for range 32 {
		running = append(running, ts.grant(ts.request(0, "session", 20, 20)))
	}
	ts.waits(ts.request(0, "session", 20, 20))
	ts.doubt("host-2", 1, 0)
	for _, granted := range running {
		if granted.Upstream.ID == engine(0).ID {
			ts.waits(place.Ended{Call: granted.Call, Ending: place.EndCancelled})
		}
	}
}
