package place_test

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

type (
	// dueMessage is a message of a simulated load and its time.
	dueMessage struct {
		at      time.Time
		message place.Message
	}

	dueMessages []dueMessage
)

func (d dueMessages) Len() int           { return len(d) }
func (d dueMessages) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d dueMessages) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dueMessages) Push(x any)        { *d = append(*d, x.(dueMessage)) }
func (d *dueMessages) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// mixedLoad simulates streams of 0.7 s and prompts with a prefill of 75 ms, and returns the average number
// of streams at an engine when the prefill of one of those prompts began there.
func mixedLoad(ts *testScheduler, steps int) float64 {
	var due dueMessages
	streams := make(map[spoke.UpstreamID]int)
	ending := make(map[spoke.CallNumber]spoke.UpstreamID)
	concurrent, prompts := 0, 0
	send := func(request place.Request, first, took time.Duration, isStream bool) {
		granted := ts.grant(request)
		if isStream {
			streams[granted.Upstream.ID]++
			ending[granted.Call] = granted.Upstream.ID
		} else {
			concurrent += streams[granted.Upstream.ID]
			prompts++
		}
		heap.Push(&due, dueMessage{ts.now.Add(first), place.Began{Call: granted.Call}})
		heap.Push(&due, dueMessage{ts.now.Add(took), place.Ended{Call: granted.Call}})
	}
	for i := range steps {
		next := ts.now.Add(33 * time.Millisecond)
		for len(due) > 0 && !due[0].at.After(next) {
			message := heap.Pop(&due).(dueMessage)
			ts.now = message.at
			ts.handle(message.message)
			if ended, ok := message.message.(place.Ended); ok {
				if at, isStream := ending[ended.Call]; isStream {
					streams[at]--
				}
			}
		}
		ts.now = next
		stream := ts.request(0, fmt.Sprint("stream-", i), 0, 200)
		stream.GapTarget = 300 * time.Millisecond
		send(stream, 13*time.Millisecond, 700*time.Millisecond, true)
		if i%3 == 0 {
			long := ts.request(1, fmt.Sprint("long-", i), 0, 6000)
			long.Target, long.GapTarget, long.Prompt.MaxOutput = ts.now.Add(600*time.Millisecond), 300*time.Millisecond, 10
			send(long, 85*time.Millisecond, 150*time.Millisecond, false)
		}
	}
	return float64(concurrent) / float64(prompts)
}

// At moderate load, most late streams were late only by a gap during the prefill of another prompt. Guards
// against mixing long prompts and long streams on all engines.
func TestLongPromptsAvoidLongStreams(t *testing.T) {
	concurrent := mixedLoad(newTestScheduler(t, 6), 300)
	// 21 streams run at a time, 3.5 at each of the six engines.
	assert.Assert(t, concurrent < 3.5/3, "%.2f streams beside each long prompt", concurrent)
}

// A prefix is cached at an engine with many streams, at moderate load and while calls wait. Guards against
// spending prefill capacity on avoiding gaps when it is scarce.
func TestCachedPrefixOutweighsGapsWhileCallsWait(t *testing.T) {
	chosen := func(waiting int) (isCached bool) {
		ts := newTestScheduler(t, 2)
		// The engines have no links, so nothing is copied.
		ts.handle(place.SetTable{Services: map[spoke.ServiceName]spoke.ServedService{
			models: {Name: models, Engine: &spoke.EngineProfile{Slots: 16, CacheCapacity: 100000, TokenSize: 1000}},
		}})
		first := ts.grant(ts.request(1, "session", 1000, 20))
		usual := engineModel{rate: 80, overhead: 10 * time.Millisecond}
		ts.finishAfter(first, usual.first(1020))
		other := engine(0).ID
		if first.Upstream.ID == other {
			other = engine(1).ID
		}
		ts.handle(place.Pause{Upstream: other, For: time.Minute})
		for i := range 12 {
			stream := ts.request(0, fmt.Sprint("stream-", i), 0, 20)
			stream.GapTarget = 300 * time.Millisecond
			granted := ts.grant(stream)
			ts.now = ts.now.Add(usual.first(20))
			ts.handle(place.Began{Call: granted.Call})
		}
		ts.handle(place.Pause{Upstream: other})
		ts.now = ts.now.Add(3 * time.Second)
		work := []spoke.WaitingWork{{Service: models, Urgency: 2, Calls: waiting, Tokens: spoke.TokenCount(3000 * waiting)}}
		ts.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, Waiting: work}})
		prompt := ts.request(1, "session", 1000, 2000)
		prompt.GapTarget = 300 * time.Millisecond
		return ts.grant(prompt).Upstream.ID == first.Upstream.ID
	}
	assert.Assert(t, !chosen(0), "prefilled beside many streams at moderate load")
	assert.Assert(t, chosen(2), "cached prefix recomputed while calls wait")
}
