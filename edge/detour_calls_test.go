package edge_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaspoke.example/spoke/config"
	fake "magnoliaspoke.example/spoke/fake/platform"
)

// detourEnd bounds the time from the end of a call to that of its run at the engine.
const detourEnd = 500 * time.Millisecond

// startDetours starts hosts of which those with the given numbers reach no engine. It waits until the first of these serves
// calls through others.
func startDetours(t *testing.T, cutOff []int, changes ...func(*config.Relay)) []cutOffHost {
	t.Helper()
	hosts := startCutOff(t, changes...)
	for _, number := range cutOff {
		hosts[number].ways.cut(cutResets)
	}
	served := 0
	awaitTrue(t, "host does not connect through others", func() bool {
		got, err := hosts[cutOff[0]].send(bookCall(fmt.Sprint("r-detour-", served)))
		if err == nil && got.status == http.StatusOK {
			served++
		}
		return served == 5
	})
	return hosts
}

// cancelled returns the number of runs whose connection was closed before their end.
func (d *deployment) cancelled() int {
	total := 0
	for _, engine := range d.engines {
		total += engine.Cancelled()
	}
	return total
}

// awaitRunEnd waits until an engine sees the end of the connection of a run, and returns when.
func (d *deployment) awaitRunEnd() time.Time {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if d.cancelled() == 1 {
			return poll.Success()
		}
		return poll.Continue("engine still runs the call")
	}, poll.WithTimeout(8*time.Second), poll.WithDelay(10*time.Millisecond))
	return time.Now()
}

// detourCounts returns how many connections a host has made through others, and how many calls it has answered.
func (d *deployment) detourCounts() (detours, answers int) {
	d.t.Helper()
	var counts struct {
		Detours int            `json:"detours"`
		Answers map[string]int `json:"answers"`
	}
	assert.NilError(d.t, json.Unmarshal([]byte(d.metricsPage()), &counts))
	for _, count := range counts.Answers {
		answers += count
	}
	return counts.Detours, answers
}

// Guards against runs that go on at an engine after the caller has left, because the way through another host does not pass
// the end of the connection on.
func TestCallerThatLeavesEndsRunBehindDetour(t *testing.T) {
	for name, made := range map[string]call{"stream": chatCall("left"), "safe": lookCall("left")} {
		t.Run(name, func(t *testing.T) {
			d := startDetours(t, []int{1})[1]
			d.setBehaviour(fake.Hang)
			before := d.runs()
			conn := d.openCall(made)
			awaitTrue(t, "call not sent", func() bool { return d.runs() == before+1 })
			assert.NilError(t, conn.SetLinger(0))
			left := time.Now()
			conn.Close()
			took := d.awaitRunEnd().Sub(left)
			assert.Assert(t, took < detourEnd, "the run ends %s after its caller has left", took)
			assert.Equal(t, d.runs(), before+1)
		})
	}
}

// Guards against calls whose deadline is lost on the way through another host, so that they are answered late or run on.
func TestDetourKeepsDeadline(t *testing.T) {
	const deadline = 900 * time.Millisecond
	d := startDetours(t, []int{1})[1]
	d.setBehaviour(fake.Hang)
	before, begun := d.runs(), time.Now()
	got := d.dial().sendWithin(quoteCall("late"), deadline)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, got.took < deadline+detourEnd, "answered after %s", got.took)
	took := d.awaitRunEnd().Sub(begun)
	assert.Assert(t, took < deadline+detourEnd, "the run ends after %s", took)
	assert.Equal(t, d.runs(), before+1)
	for _, engine := range d.engines {
		for _, run := range engine.Runs() {
			if run.ID != "late" {
				continue
			}
			left, err := strconv.Atoi(run.Header.Get("Magnoliaspoke-Deadline-Ms"))
			assert.NilError(t, err)
			assert.Assert(t, left > 0 && left <= int(deadline.Milliseconds()), "the engine is told %d ms", left)
		}
	}
}

// Guards against calls that arrive twice or are counted by the host that relays them as well, and against detours that take
// a second hop, while all but one host reach no engine.
func TestDetoursTakeOneHopAndCountOnce(t *testing.T) {
	const count = 20
	hosts := startDetours(t, []int{1, 0, 2, 3})
	d := hosts[1]
	var calls sync.WaitGroup
	for kind, build := range map[string]func(string) call{"chat": chatCall, "quote": quoteCall, "book": bookCall, "look": lookCall} {
		calls.Go(func() {
			for number := range count {
				got, err := d.send(build(fmt.Sprintf("%s-%d", kind, number)))
				assert.Check(t, err)
				assert.Check(t, got.status == http.StatusOK, "%s-%d: %d %s", kind, number, got.status, got.body)
			}
		})
	}
	calls.Wait()
	arrivals := make(map[string]int)
	for _, engine := range d.engines {
		for _, arrival := range engine.Arrivals() {
			arrivals[arrival.ID]++
		}
	}
	for id, times := range arrivals {
		assert.Check(t, times == 1, "%s arrived %d times", id, times)
	}
	detours, answers := d.detourCounts()
	assert.Check(t, detours > 0, "no connection was made through another host")
	assert.Check(t, answers >= 4*count, "%d answers counted", answers)
	for number, other := range hosts {
		if number != 1 {
			detours, answers := other.detourCounts()
			assert.Check(t, detours == 0 && answers == 0, "%s made %d detours and counts %d answers", other.settings.Host, detours, answers)
		}
	}
}

// Guards against a recall that does not reach the engine because the call went through another host.
func TestRecallPassesDetour(t *testing.T) {
	const limit = 1500 * time.Millisecond
	d := startDetours(t, []int{1}, func(settings *config.Relay) { settings.WeightsApply = limit })[1]
	d.setBehaviour(fake.Hang)
	before := d.runs()
	results := d.sendAsync(quoteCall("stuck"))
	awaitTrue(t, "call has not reached the engine", func() bool { return d.runs() == before+1 })
	published := time.Now()
	d.store.Put("op/version/model-a", map[string]any{"model": "model-a", "version": 2})
	took := d.awaitRunEnd().Sub(published)
	assert.Assert(t, took < limit, "the run ends %s after the weights were named", took)
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, got.answer.status, http.StatusBadGateway)
}
