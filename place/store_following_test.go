package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

// firstUseTime is the longest time until hosts that start together use a store: they wait for reports, pause and list it.
const firstUseTime = 1500*time.Millisecond + place.StoreRetryDelay + time.Second

// A host that lost its ways to a store reported it as down to all and went on trying; no other host followed the store.
// Guards against that, against more than two hosts that call the store, and against a host that takes it back.
func TestStoreIsHandedOver(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		f := newFollowFleet(7)
		f.hangs = hangs
		f.awaitFollower(t, firstUseTime)
		assert.DeepEqual(t, f.followers(), []spoke.HostID{"host-000"})
		f.hosts[0].isCut, f.hosts[1].isCut = true, true
		assert.Equal(t, f.run(followStep), "")
		took := f.awaitFollower(t, 10*time.Second)
		for took < 10*time.Second && f.followers()[0] == "host-000" {
			assert.Equal(t, f.step(), "")
			took += followStep + f.awaitFollower(t, 10*time.Second)
		}
		t.Logf("hangs %t: followed again after %s", hangs, took)
		assert.DeepEqual(t, f.followers(), []spoke.HostID{"host-002"})
		assert.Assert(t, took <= 5*time.Second, "took %s", took)
		f.hosts[0].isCut = false
		assert.Equal(t, f.run(time.Minute), "")
		assert.DeepEqual(t, f.followers(), []spoke.HostID{"host-002"})
		assert.Equal(t, f.hosts[2].publishedSnapshots, 1)
		assert.Assert(t, f.maxCallers <= 2, "%d callers", f.maxCallers)
	}
}

// Guards against a store that no host follows when only the last host of a list reaches it, and against many hosts that
// try it at once.
func TestLastHostOfAListIsReached(t *testing.T) {
	f := newFollowFleet(60)
	f.awaitFollower(t, firstUseTime)
	for _, host := range f.hosts[:59] {
		host.isCut = true
	}
	assert.Equal(t, f.run(time.Second), "")
	took := f.awaitFollower(t, time.Minute)
	t.Logf("followed again after %s", took)
	assert.DeepEqual(t, f.followers(), []spoke.HostID{"host-059"})
	assert.Assert(t, f.maxCallers <= 2, "%d callers", f.maxCallers)
}

// Guards against many hosts that call a store that is down, and against one that is not followed after its return.
func TestStoreThatIsDownIsCalledByFewHosts(t *testing.T) {
	for _, count := range []int{1, 2, 3, 20, 60} {
		f := newFollowFleet(count)
		f.awaitFollower(t, firstUseTime)
		f.isDown, f.maxCallers = true, 0
		before := f.calls
		assert.Equal(t, f.run(time.Minute), "")
		t.Logf("%d hosts: %d calls in a minute, at most %d at once", count, f.calls-before, f.maxCallers)
		assert.Assert(t, f.maxCallers <= 2, "%d callers of %d", f.maxCallers, count)
		f.isDown = false
		f.epoch++
		limit := place.StoreRetryDelay + time.Second
		if count < 4 {
			// All of them wait before they try again.
			limit += place.StoreRetryDelay
		}
		took := f.awaitFollower(t, 10*time.Second)
		assert.Assert(t, took >= place.StoreRetryDelay && took <= limit, "%d hosts: used again after %s", count, took)
	}
}

// Guards against a store that another host uses without the pause after a start of the store, when the store starts
// again while it is handed over: its follower loses its ways, or stops, at that moment.
func TestStartDuringHandOverKeepsThePause(t *testing.T) {
	for _, stops := range []bool{false, true} {
		f := newFollowFleet(5)
		f.awaitFollower(t, firstUseTime)
		assert.Equal(t, f.run(time.Second), "")
		f.epoch++
		began := f.now
		f.hosts[0].isCut = true
		if stops {
			f.hosts[0].isAway = true
			f.list()
		}
		assert.Equal(t, f.run(followStep), "")
		for f.now.Sub(began) < 10*time.Second && f.hosts[1].publishedSnapshots == 0 {
			assert.Equal(t, f.step(), "")
		}
		t.Logf("stops %t: published after %s", stops, f.now.Sub(began))
		assert.Equal(t, f.hosts[1].publishedSnapshots, 1)
		assert.Assert(t, f.now.Sub(began) >= place.StoreRetryDelay)
		assert.Assert(t, f.now.Sub(began) <= place.StoreRetryDelay+time.Second)
	}
}

// Guards against a started host that takes the store from the host that follows it, since it knows nothing of the
// starts of the store.
func TestStartedHostLeavesTheStoreToItsFollower(t *testing.T) {
	for start := range 12 {
		f := newFollowFleet(5)
		f.hosts[0].isAway = true
		f.list()
		f.awaitFollower(t, firstUseTime)
		assert.Equal(t, f.run(time.Duration(start)*followStep), "")
		f.hosts[0].isAway, f.hosts[0].following = false, place.NewStoreFollowing("host-000")
		f.list()
		f.epoch++
		assert.Equal(t, f.run(30*time.Second), "", "start after %d steps", start)
		assert.DeepEqual(t, f.followers(), []spoke.HostID{"host-001"})
	}
}

// Guards against a store that nobody follows since all reports of a follower's loss are lost on the way to the next
// host, and against two followers of which one does not hear the other.
func TestLostReportsOfALossDelayTheHandOver(t *testing.T) {
	f := newFollowFleet(3)
	f.awaitFollower(t, firstUseTime)
	assert.Equal(t, f.run(2*time.Second), "")
	f.hosts[1].isDeafTo["host-000"], f.hosts[2].isDeafTo["host-000"] = true, true
	f.hosts[0].isCut = true
	assert.Equal(t, f.run(followStep*3), "")
	took := f.awaitFollower(t, 15*time.Second)
	t.Logf("followed again after %s", took)
	assert.DeepEqual(t, f.followers(), []spoke.HostID{"host-001"})

	f = newFollowFleet(3)
	f.awaitFollower(t, firstUseTime)
	assert.Equal(t, f.run(2*time.Second), "")
	f.hosts[1].isDeafTo["host-000"] = true
	assert.Equal(t, f.run(30*time.Second), "")
	assert.DeepEqual(t, f.followers(), []spoke.HostID{"host-001"})
	assert.Assert(t, f.maxCallers <= 2)
}

// Guards against a host without reports of others that follows a store out of its turn.
func TestHostThatHearsNobodyWaitsForItsTurn(t *testing.T) {
	f := newFollowFleet(3)
	f.awaitFollower(t, firstUseTime)
	f.hosts[2].isDeafTo["host-000"], f.hosts[2].isDeafTo["host-001"] = true, true
	assert.Equal(t, f.run(time.Minute), "")
	assert.DeepEqual(t, f.followers(), []spoke.HostID{"host-000"})
	assert.Equal(t, f.maxCallers, 1)
}

// Guards against a host that hears nothing of the follower of a store, takes the store for unused and publishes another
// start of it than hosts that hear the follower use.
func TestHostThatDoesNotHearTheFollowerKeepsThePause(t *testing.T) {
	for start := range 120 {
		f := newFollowFleet(5)
		f.hosts[1].isDeafTo["host-000"] = true
		assert.Equal(t, f.run(time.Duration(start)*followStep), "")
		f.epoch++
		assert.Equal(t, f.run(20*time.Second), "", "start after %d steps", start)
		assert.Equal(t, len(f.followers()), 1)
	}
}

// Guards against a started host that is the first of the list, receives no reports and publishes a later start of the
// store than hosts that hear the follower use.
func TestStartedHostThatHearsNobodyKeepsThePause(t *testing.T) {
	for start := range 20 {
		f := newFollowFleet(3)
		f.hosts[0].isAway = true
		f.list()
		f.awaitFollower(t, firstUseTime)
		f.hosts[0].isAway, f.hosts[0].following = false, place.NewStoreFollowing("host-000")
		f.hosts[0].isDeafTo["host-001"], f.hosts[0].isDeafTo["host-002"] = true, true
		f.hosts[0].heardAt = time.Time{}
		f.list()
		assert.Equal(t, f.run(time.Duration(start)*followStep), "")
		f.hosts[1].isCut, f.hangs = true, true
		f.epoch++
		assert.Equal(t, f.run(20*time.Second), "", "start after %d steps", start)
	}
}

// Two hosts that do not hear each other followed a store that started again while a call of one of them hung, which went
// on to report the earlier start until the call failed. Guards against a pause of the other that is too short for that.
func TestCallThatHangsDoesNotKeepAnEarlierStart(t *testing.T) {
	for start := range 40 {
		f := newFollowFleet(3)
		f.hangs = true
		f.awaitFollower(t, firstUseTime)
		f.hosts[0].isDeafTo["host-001"], f.hosts[1].isDeafTo["host-000"] = true, true
		for len(f.followers()) < 2 {
			assert.Equal(t, f.step(), "")
		}
		assert.Equal(t, f.run(time.Duration(start%10)*followStep), "")
		f.hosts[0].isCut = true
		assert.Equal(t, f.run(time.Duration(start/10)*followStep), "")
		f.epoch++
		assert.Equal(t, f.run(20*time.Second), "", "start after %d steps", start)
	}
}

// Guards against an older report that arrives late and hides the loss of a store.
func TestLateReportDoesNotHideALoss(t *testing.T) {
	now := time.Unix(1000, 0)
	following := place.NewStoreFollowing("host-2")
	following.SetHosts(now, []spoke.HostID{"host-1", "host-2"})
	following.Receive(now, place.StoreClaim{Host: "host-1", Sequence: 1, Epoch: 7})
	now = now.Add(2 * time.Second)
	following.Receive(now, place.StoreClaim{Host: "host-1", Sequence: 3, IsDown: true})
	following.Receive(now, place.StoreClaim{Host: "host-1", Sequence: 2, Epoch: 7})
	assert.Assert(t, following.Follows(now, true))
}

// Guards against a host that follows a store out of its turn since it first knew only itself, and against one that
// follows a store before it knows the list.
func TestHostFollowsNoStoreBeforeItKnowsTheList(t *testing.T) {
	now := time.Unix(1000, 0)
	following := place.NewStoreFollowing("host-2")
	assert.Assert(t, !following.Follows(now, true))
	following.SetHosts(now, []spoke.HostID{"host-2"})
	assert.Assert(t, following.Follows(now, true))
	following.SetHosts(now, []spoke.HostID{"host-1", "host-2"})
	assert.Assert(t, !following.Follows(now, true))
}

// Guards against two hosts that use different starts of a store, and against a store without a follower or with two,
// whatever reports and ways were lost before.
func TestStoreIsFollowedAfterRandomLosses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFollowFleet(5)
		pick := func(rt *rapid.T) *followHost { return rapid.SampledFrom(f.hosts).Draw(rt, "host") }
		steps := func(rt *rapid.T) {
			for range rapid.IntRange(1, 80).Draw(rt, "steps") {
				if violation := f.step(); violation != "" {
					rt.Fatal(violation)
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"step":      steps,
			"step more": steps,
			"cut ways":  func(rt *rapid.T) { host := pick(rt); host.isCut = !host.isCut },
			"drop reports": func(rt *rapid.T) {
				host, from := pick(rt), pick(rt)
				host.isDeafTo[from.id] = !host.isDeafTo[from.id]
			},
			"hang ways":   func(*rapid.T) { f.hangs = !f.hangs },
			"start host":  func(rt *rapid.T) { f.restart(pick(rt)) },
			"start store": func(*rapid.T) { f.epoch++ },
			"stop store":  func(*rapid.T) { f.isDown = !f.isDown },
		})
		f.isDown = false
		for _, host := range f.hosts {
			host.isCut = false
			clear(host.isDeafTo)
		}
		if violation := f.run(30 * time.Second); violation != "" {
			rt.Fatal(violation)
		}
		followers := f.followers()
		if len(followers) != 1 {
			rt.Fatalf("followers 30 s after the last loss: %v", followers)
		}
		if violation := f.run(10 * time.Second); violation != "" {
			rt.Fatal(violation)
		}
		if left := f.followers(); len(left) != 1 || left[0] != followers[0] {
			rt.Fatalf("followers %v after %v", left, followers)
		}
	})
}
