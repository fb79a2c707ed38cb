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
	// dueMessage is a message of a replayed load and when it comes.
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

// mixedLoad replays streams of 0.7 s beside prompts that are read for 75 ms, and returns how many
// streams ran at an engine on average when it began to read one of those prompts.
func mixedLoad(tr *trial, steps int) float64 {
	var due dueMessages
	streams := make(map[spoke.UpstreamID]int)
	ending := make(map[spoke.CallNumber]spoke.UpstreamID)
	met, prompts := 0, 0
	send := func(ask place.Request, first, took time.Duration, isStream bool) {
		granted := tr.grant(ask)
		if isStream {
			streams[granted.Upstream.ID]++
			ending[granted.Call] = granted.Upstream.ID
		} else {
			met += streams[granted.Upstream.ID]
			prompts++
		}
		heap.Push(&due, dueMessage{tr.now.Add(first), place.Began{Call: granted.Call}})
		heap.Push(&due, dueMessage{tr.now.Add(took), place.Ended{Call: granted.Call}})
	}
	for i := range steps {
		next := tr.now.Add(33 * time.Millisecond)
		for len(due) > 0 && !due[0].at.After(next) {
			message := heap.Pop(&due).(dueMessage)
			tr.now = message.at
			tr.handle(message.message)
			if ended, ok := message.message.(place.Ended); ok {
				if at, isStream := ending[ended.Call]; isStream {
					streams[at]--
				}
			}
		}
		tr.now = next
		stream := tr.ask(0, fmt.Sprint("stream-", i), 0, 200)
		stream.GapTarget = 300 * time.Millisecond
		send(stream, 13*time.Millisecond, 700*time.Millisecond, true)
		if i%3 == 0 {
			long := tr.ask(1, fmt.Sprint("long-", i), 0, 6000)
			long.Target, long.GapTarget, long.Prompt.MaxOutput = tr.now.Add(600*time.Millisecond), 300*time.Millisecond, 10
			send(long, 85*time.Millisecond, 150*time.Millisecond, false)
		}
	}
	return float64(met) / float64(prompts)
}

// Replays a calm day, when most streams were late only by a pause while their engine read prompts of
// others. Guards against long prompts and long streams that are mixed on all engines.
func TestLongPromptsKeepAwayFromLongStreams(t *testing.T) {
	met := mixedLoad(newTrial(t, 6), 300)
	// 21 streams run at a time, 3.5 at each of the six engines.
	assert.Assert(t, met < 3.5/3, "%.2f streams beside each long prompt", met)
}

// Replays a prompt whose beginning is cached at an engine with many streams, on a calm day and while
// calls wait. Guards against reading that is spent on avoiding pauses when there is too little of it.
func TestCachedBeginningOutweighsPausesWhileCallsWait(t *testing.T) {
	chosen := func(waiting int) (isCached bool) {
		tr := newTrial(t, 2)
		// Nothing is copied, since engines have no links.
		tr.handle(place.SetTable{Services: map[spoke.ServiceName]spoke.ServedService{
			models: {Name: models, Engine: &spoke.EngineProfile{Slots: 16, CacheCapacity: 100000, TokenSize: 1000}},
		}})
		first := tr.grant(tr.ask(1, "session", 1000, 20))
		usual := engineModel{rate: 80, step: 10 * time.Millisecond}
		tr.settleAfter(first, usual.first(1020))
		other := engine(0).ID
		if first.Upstream.ID == other {
			other = engine(1).ID
		}
		tr.handle(place.Pause{Upstream: other, For: time.Minute})
		for i := range 12 {
			stream := tr.ask(0, fmt.Sprint("stream-", i), 0, 20)
			stream.GapTarget = 300 * time.Millisecond
			granted := tr.grant(stream)
			tr.now = tr.now.Add(usual.first(20))
			tr.handle(place.Began{Call: granted.Call})
		}
		tr.handle(place.Pause{Upstream: other})
		tr.now = tr.now.Add(3 * time.Second)
		work := []spoke.WaitingWork{{Service: models, Urgency: 2, Tokens: spoke.TokenCount(3000 * waiting)}}
		tr.handle(place.ReceiveReport{Report: spoke.HostReport{Host: "host-2", Sequence: 1, Waiting: work}})
		prompt := tr.ask(1, "session", 1000, 2000)
		prompt.GapTarget = 300 * time.Millisecond
		return tr.grant(prompt).Upstream.ID == first.Upstream.ID
	}
	assert.Assert(t, !chosen(0), "a calm prompt is read beside many streams")
	assert.Assert(t, chosen(2), "a cached beginning is read again while calls wait")
}
