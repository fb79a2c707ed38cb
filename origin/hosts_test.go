package origin_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/origin"
)

// membership returns hosts spread over data centres.
func membership(hosts, dataCentres int) []spoke.ListedPeer {
	var members []spoke.ListedPeer
	for i := range hosts {
		members = append(members, spoke.ListedPeer{ID: spoke.HostID(fmt.Sprint("host-", i)), DataCentre: spoke.DataCentreID(fmt.Sprint("dc-", i%dataCentres))})
	}
	return members
}

func without(members []spoke.ListedPeer, gone ...spoke.HostID) []spoke.ListedPeer {
	return slices.DeleteFunc(slices.Clone(members), func(peer spoke.ListedPeer) bool { return slices.Contains(gone, peer.ID) })
}

// Guards against a stream whose version nobody is asked for that knows it, when the host that began it has died, and
// with it one of the two that it told, or a data centre: whether the dead hosts are still listed or not, and wherever
// the caller takes the stream up.
func TestHoldersAreAskedAfterDeaths(t *testing.T) {
	for _, size := range [][2]int{{2, 1}, {3, 1}, {7, 3}, {9, 3}, {7, 7}, {40, 4}, {420, 3}} {
		members := membership(size[0], size[1])
		for i := range 200 {
			request := spoke.RequestID(fmt.Sprint("r-", i))
			began := members[i%len(members)]
			holders := origin.Holders(request, members, began)
			assert.Assert(t, !slices.Contains(holders, began.ID))
			assert.Equal(t, len(slices.Compact(slices.Sorted(slices.Values(holders)))), min(2, size[0]-1))
			asking := members[(i+1+i/len(members))%len(members)]
			for _, gone := range [][]spoke.HostID{{}, {began.ID}, {began.ID, holders[0]}, {began.ID, holders[len(holders)-1]}} {
				left := without(members, gone...)
				for _, known := range [][]spoke.ListedPeer{members, left} {
					assertFound(t, request, known, asking, holders, gone)
				}
			}
		}
	}
}

// assertFound fails the test unless a host that asks reaches a holder, or is one itself, if one is left.
func assertFound(t *testing.T, request spoke.RequestID, known []spoke.ListedPeer, asking spoke.ListedPeer, holders, gone []spoke.HostID) {
	t.Helper()
	asked := append(origin.Sources(request, known, asking), asking.ID)
	isLeft := func(id spoke.HostID) bool { return !slices.Contains(gone, id) }
	if slices.Contains(gone, asking.ID) || !slices.ContainsFunc(holders, isLeft) {
		return
	}
	isFound := slices.ContainsFunc(holders, func(id spoke.HostID) bool { return isLeft(id) && slices.Contains(asked, id) })
	assert.Assert(t, isFound, "%s: holders %v, asked %v, gone %v", request, holders, asked, gone)
}

// Guards against streams whose version is known in one data centre only, which may be cut off or lost.
func TestHoldersAreInTwoDataCentres(t *testing.T) {
	members := membership(9, 3)
	for i := range 100 {
		began := members[i%len(members)]
		dataCentres := make(map[spoke.DataCentreID]bool)
		for _, id := range origin.Holders(spoke.RequestID(fmt.Sprint(i)), members, began) {
			index := slices.IndexFunc(members, func(peer spoke.ListedPeer) bool { return peer.ID == id })
			dataCentres[members[index].DataCentre] = true
		}
		assert.Assert(t, len(dataCentres) == 2 && dataCentres[began.DataCentre], "%v", dataCentres)
	}
}

// Guards against hosts that ask ever more others as an installation grows, and against few that hold most streams.
func TestWorkIsSpreadOverHosts(t *testing.T) {
	members := membership(420, 3)
	held := make(map[spoke.HostID]int)
	const streams = 42_000
	for i := range streams {
		request := spoke.RequestID(fmt.Sprint("r-", i))
		for _, id := range origin.Holders(request, members, members[i%len(members)]) {
			held[id]++
		}
		if i%100 == 0 {
			assert.Assert(t, len(origin.Sources(request, members, members[i%len(members)])) <= 6)
		}
	}
	for id, count := range held {
		assert.Assert(t, count < 2*2*streams/len(members), "%s holds %d", id, count)
	}
}
