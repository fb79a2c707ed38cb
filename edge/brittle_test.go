package edge_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	// brittleHosts hosts get calls for brittleFor, each one every brittleCallInterval on average, which is about what
	// brittleEngines engines of brittleSlots slots serve.
	brittleHosts        = 6
	brittleEngines      = 3
	brittleSlots        = 6
	brittleRejections   = 5
	brittleFor          = 10 * time.Second
	brittleCallInterval = 140 * time.Millisecond
	// brittleEventInterval is the time between two of the four events of a stream.
	brittleEventInterval = 110 * time.Millisecond
	brittleDown          = 3 * time.Second
	// brittleQueue calls may wait in an engine until brittleStable after its answers name that it is brittle.
	brittleQueue       = 20
	brittleStable      = 3 * time.Second
	brittleAnswerDelay = 440 * time.Millisecond
	// mostFalls is how often brittle engines may fall over: 2 and a tenth of their number.
	mostFalls = 2
	// leastUsed is the fraction of the time of all slots that is used at least.
	leastUsed = 0.5
)

// Guards against hosts that together have brittle engines reject more calls than they stand, so that they fall over.
func TestBrittleEnginesDoNotFallOver(t *testing.T) {
	for _, load := range []struct {
		name string
		kind func(id string) call
		// factor is the load as a multiple of what the engines can serve.
		factor time.Duration
	}{{"plain calls", lookCall, 3}, {"prompts", brittlePrompt, 3}, {"prompts at capacity", brittlePrompt, 1}} {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			hosts := startHostsWith(t, brittleHosts, brittleEngines)
			d := hosts[0]
			for _, engine := range d.engines {
				d.makeBrittle(engine)
			}
			begin := time.Now()
			statuses := sendAtRandom(hosts, load.kind, brittleCallInterval/load.factor, brittleFor)
			took := time.Since(begin)
			falls, rejections, busy := 0, 0, time.Duration(0)
			for _, engine := range d.engines {
				falls += len(engine.Crashes())
				rejections += len(engine.Rejections())
				busy += engine.Busy()
			}
			used := float64(busy) / float64(took*brittleEngines*brittleSlots)
			t.Logf("%d falls, %d rejections, %.2f of the slots used, answers %v", falls, rejections, used, statuses)
			assert.Assert(t, falls <= mostFalls, "%d falls", falls)
			assert.Assert(t, used >= leastUsed, "%.2f", used)
		})
	}
}

// makeBrittle makes an engine name that it is brittle, and let no calls wait from brittleStable later.
func (d *deployment) makeBrittle(engine *fake.Engine) {
	engine.SetEventInterval(brittleEventInterval)
	engine.SetAnswerDelay(brittleAnswerDelay)
	brittle := fake.Brittleness{Slots: brittleSlots, Queue: brittleQueue, Rejections: brittleRejections, Down: brittleDown}
	engine.SetBrittle(&brittle)
	d.putEntry(engine, "ready")
	time.AfterFunc(brittleStable, func() {
		brittle.Queue = 0
		engine.SetBrittle(&brittle)
	})
}

// brittlePrompt returns a call with a prompt that shares no part with others.
func brittlePrompt(id string) call {
	c := chatCall(id)
	c.header = http.Header{"Magnoliaspoke-Prefix-Hash": {fmt.Sprintf("a%[1]s:100,b%[1]s:150,c%[1]s:50", id)}}
	return c
}

// sendAtRandom sends calls to each host at random times and returns the number of answers by status, zero for none.
func sendAtRandom(hosts []*deployment, kind func(id string) call, interval, period time.Duration) map[int]int {
	statuses := make(chan int, 10000)
	var sending sync.WaitGroup
	for i, host := range hosts {
		random := rand.New(rand.NewPCG(uint64(i), 1))
		sending.Go(func() {
			for begin, sent := time.Now(), 0; time.Since(begin) < period; sent++ {
				<-time.After(time.Duration(random.ExpFloat64() * float64(interval)))
				c := kind(fmt.Sprintf("call-%d-%d", sent, i))
				sending.Go(func() {
					got, err := host.send(c)
					if err != nil {
						got.status = 0
					}
					statuses <- got.status
				})
			}
		})
	}
	sending.Wait()
	close(statuses)
	counts := make(map[int]int)
	for status := range statuses {
		counts[status]++
	}
	return counts
}

// Guards against a host that refuses a request, or prompts that share their parts, after engines that ran it have fallen
// over since they had no room for others.
func TestFallsOfBrittleEnginesQuarantineNothing(t *testing.T) {
	t.Parallel()
	const (
		engines, wantedFalls = 2, 2
		// Engines are listed with more slots than they have.
		listedSlots, slots = 40, 2
		burst              = 40
		awaitFalls         = 20 * time.Second
	)
	d := start(t, engines)
	for _, engine := range d.engines {
		engine.SetAnswerDelay(brittleAnswerDelay)
		engine.SetBrittle(&fake.Brittleness{Slots: listedSlots, Rejections: brittleRejections, Down: time.Second})
		d.putEntry(engine, "ready")
		engine.SetBrittle(&fake.Brittleness{Slots: slots, Rejections: brittleRejections, Down: time.Second})
	}
	falls := func() int { return len(d.crashes()) }
	sharedPrompt := func(id string) call {
		c := chatCall(id)
		c.header = http.Header{"Magnoliaspoke-Prefix-Hash": {"a1:100,b1:150,c" + id + ":50"}}
		return c
	}
	for begin, sent := time.Now(), 0; falls() < wantedFalls; sent++ {
		assert.Assert(t, time.Since(begin) < awaitFalls, "%d falls", falls())
		sendTogether(d, burst, func(i int) call { return sharedPrompt(fmt.Sprintf("%d%04d", sent, i)) })
	}
	awaitTrue(t, "no prompt is served after the falls", func() bool {
		got, err := d.send(sharedPrompt(fmt.Sprint("f", time.Now().UnixNano())))
		assert.Assert(t, !strings.Contains(got.body, "quarantined"), got.body)
		return err == nil && got.status == http.StatusOK
	})
}

// sendTogether sends calls at the same time and waits for their answers.
func sendTogether(d *deployment, count int, kind func(i int) call) {
	var sending sync.WaitGroup
	for i := range count {
		sending.Go(func() { _, _ = d.send(kind(i)) })
	}
	sending.Wait()
}
