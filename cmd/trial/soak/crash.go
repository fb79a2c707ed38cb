package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	crashingPart      = "crashing"
	crashingCallPause = 120 * time.Millisecond
	// engineDownTime is the time from a crash of an engine to its next start.
	engineDownTime = 500 * time.Millisecond
	// crashGrace is the time after crash number crashesToLearn from which hosts may together send engines
	// crashBudget more requests with the crashing part.
	crashesToLearn = 5
	crashGrace     = 3 * time.Second
	crashBudget    = 3
)

// setCrashing makes the engine crash on the crashing part. Hosts reach it without a relay then, since a relay
// would go on to accept connections.
func (b *testbed) setCrashing(e *engine) {
	e.SetCrashing(fake.Crashing{Part: crashingPart, After: 10 * time.Millisecond, Down: engineDownTime, OnStart: func(*fake.Engine) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if !slices.Contains(b.retired, e) {
			b.store.PutEngine(e.Engine, service, b.addressOf(e), e.isLeaving)
		}
	}})
}

// runCrashing sends requests with the crashing part, no two alike, until ctx ends.
func (c *callers) runCrashing(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var group sync.WaitGroup
	defer group.Wait()
	for count := 0; ctx.Err() == nil; count++ {
		h := c.testbed.hosts[random.IntN(len(c.testbed.hosts))]
		id := fmt.Sprintf("crash-%d", count)
		parts := []string{"aa:100", "bb:100"}
		parts = slices.Insert(parts, random.IntN(len(parts)+1), crashingPart+":50")
		route := []string{chat, quote}[random.IntN(2)]
		group.Go(func() { c.callPrompt(client, h, route, id, append(parts, id+":50")) })
		sleep(ctx, crashingCallPause)
	}
}

// checkCrashes checks that the hosts together stopped sending requests with the crashing part. The host that
// process faults applied to is excused.
func (c *callers) checkCrashes(faulty *host) {
	senders := make(map[string]*host)
	for _, result := range c.outcomes {
		senders[result.id] = result.host
	}
	var crashes []time.Time
	var arrivals []fake.Arrival
	for _, e := range append(slices.Clone(c.testbed.engines), c.testbed.retired...) {
		crashes = append(crashes, e.Crashes()...)
		arrivals = append(arrivals, e.Arrivals()...)
	}
	if len(crashes) < crashesToLearn {
		c.violationf("engines crashed only %d times", len(crashes))
		return
	}
	slices.SortFunc(crashes, time.Time.Compare)
	deadline := crashes[crashesToLearn-1].Add(crashGrace)
	late := slices.DeleteFunc(arrivals, func(a fake.Arrival) bool {
		return !a.At.After(deadline) || !fake.HasPart(a.PrefixHashes, crashingPart) || senders[a.ID] == faulty
	})
	if len(late) > crashBudget {
		c.violationf("%d requests with a part that crashes engines, later than %s after crash %d of %d", len(late), crashGrace, crashesToLearn, len(crashes))
	}
}
