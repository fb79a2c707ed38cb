package edge_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	crashingPart = "crashing"
	// Pairs of a sound request and one with the crashing part are sent for partCrashFor, one each
	// partCallInterval, to each of partCrashHosts hosts in turn.
	partCrashHosts   = 3
	partCrashEngines = 6
	partCrashFor     = 12 * time.Second
	partCallInterval = 60 * time.Millisecond
	// Each partCallRatio-th request has the crashing part.
	partCallRatio = 3
	// partStableWindow is the time from the fifth crash from which at most partBudget further requests with
	// the part may reach engines.
	partStableWindow = 3 * time.Second
	partBudget       = 3
	crashesToLearn   = 5
)

// partAnswer is the outcome of one request of the test.
type partAnswer struct {
	id       string
	isSound  bool
	sent     time.Time
	answered time.Time
	answer
	err error
}

// Guards against crashes of upstreams that neither log nor metrics show.
func TestUpstreamCrashIsLogged(t *testing.T) {
	d := start(t, 2)
	d.setCrashing(0)
	_, _ = d.send(partCall("crash", false, 0))
	awaitTrue(t, "crash not logged", func() bool { return d.hasLogged("upstream crashed during an attempt") })
	assert.Assert(t, !strings.Contains(d.metricsPage(), `"crashes": 0`))
}

// Guards against a prompt part that goes on to crash engines, since the requests with it differ in body, path,
// other parts and the host that they reach, and against refusals of requests that share all else with them.
func TestCrashingPartIsQuarantined(t *testing.T) {
	d := start(t, partCrashEngines)
	hosts := []*deployment{d}
	for i := 1; i < partCrashHosts; i++ {
		hosts = append(hosts, d.addHost(spoke.HostID(fmt.Sprint("host-", i+1))))
	}
	for _, engine := range d.engines {
		engine.SetEventInterval(10 * time.Millisecond)
	}
	d.setCrashing(30 * time.Millisecond)
	answers := sendPartCalls(hosts)
	crashes := d.crashes()
	assert.Assert(t, len(crashes) >= crashesToLearn, "only %d crashes", len(crashes))
	deadline := crashes[crashesToLearn-1].Add(partStableWindow)
	arrivals := d.arrivals()
	late := 0
	for _, list := range arrivals {
		for _, arrival := range list {
			if arrival.At.After(deadline) && fake.HasPart(arrival.PrefixHashes, crashingPart) {
				late++
			}
		}
	}
	t.Logf("%d crashes, %d requests with the part later than the stable window after the fifth", len(crashes), late)
	assert.Assert(t, late <= partBudget, "%d requests", late)
	assertPartAnswers(t, answers, deadline, arrivals, crashes)
}

// sendPartCalls sends requests to the hosts in turn and returns their outcomes.
func sendPartCalls(hosts []*deployment) []partAnswer {
	tick := time.NewTicker(partCallInterval)
	defer tick.Stop()
	var mu sync.Mutex
	var answers []partAnswer
	var group sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < partCrashFor; i++ {
		<-tick.C
		isSound := i%partCallRatio != 0
		c := partCall(fmt.Sprint("call-", i), isSound, i/partCallRatio)
		// Requests of both kinds reach all hosts, since the number of hosts and partCallRatio divide differently.
		host := hosts[(i+i/partCallRatio)%len(hosts)]
		group.Go(func() {
			sent := time.Now()
			got, err := host.send(c)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, partAnswer{c.id, isSound, sent, time.Now(), got, err})
		})
	}
	group.Wait()
	return answers
}

// partCall returns a request whose parts but the last are shared; the one of a request that is not sound are
// in another order each time, and the crashing part is at another place.
func partCall(id string, isSound bool, number int) call {
	parts := []string{"aa:50", "bb:100", "cc:50"}
	number %= len(parts) + 1
	parts = slices.Concat(parts[number%len(parts):], parts[:number%len(parts)])
	if !isSound {
		parts = slices.Insert(parts, number, crashingPart+":50")
	}
	parts = append(parts, id+":50")
	c := []call{chatCall(id), quoteCall(id)}[number%2]
	c.path += "?" + id
	c.body = "body of " + id
	c.header = http.Header{"Magnoliaspoke-Prefix-Hash": {strings.Join(parts, ",")}}
	return c
}

// assertPartAnswers checks the answers to requests that were sent after the deadline.
func assertPartAnswers(t *testing.T, answers []partAnswer, deadline time.Time, arrivals map[string][]fake.Arrival, crashes []time.Time) {
	t.Helper()
	refused, served := 0, 0
	for _, got := range answers {
		if !got.sent.After(deadline) {
			continue
		}
		sends := len(arrivals[got.id])
		if !got.isSound && sends == 0 {
			refused++
			assert.NilError(t, got.err, got.id)
			assert.Equal(t, got.status, http.StatusServiceUnavailable, "%s: %s", got.id, got.body)
			assert.Assert(t, strings.Contains(got.body, "quarantined") && strings.Contains(got.body, "not-run"), "%s: %s", got.id, got.body)
			assert.Assert(t, got.header.Get("Retry-After") != "", got.id)
		}
		if !got.isSound && sends > 0 {
			assert.Assert(t, !strings.Contains(got.body, "not-run"), "%s reached an engine: %s", got.id, got.body)
		}
		if got.isSound && !got.isDuringCrash(crashes) {
			served++
			assert.NilError(t, got.err, got.id)
			assert.Equal(t, got.status, http.StatusOK, "%s: %s", got.id, got.body)
			assert.Equal(t, sends, 1, got.id)
		}
	}
	t.Logf("after the stable window: %d requests refused, %d sound ones served", refused, served)
	assert.Assert(t, refused > 0 && served > 0, "%d refused, %d served", refused, served)
}

// isDuringCrash reports whether an engine crashed while the request ran; it may have run there.
func (a partAnswer) isDuringCrash(crashes []time.Time) bool {
	return slices.ContainsFunc(crashes, func(at time.Time) bool { return at.After(a.sent) && at.Before(a.answered) })
}

// setCrashing makes the engines crash on the crashing part and start again shortly after.
func (d *deployment) setCrashing(after time.Duration) {
	for i, engine := range d.engines {
		engine.SetCrashing(fake.Crashing{
			Part: crashingPart, After: after, Down: 300 * time.Millisecond, HeadFirst: i%2 == 1,
			OnStart: func(e *fake.Engine) { d.putEntry(e, "ready") },
		})
	}
}

// crashes returns the times of the crashes of all engines in their order.
func (d *deployment) crashes() []time.Time {
	var crashes []time.Time
	for _, engine := range d.engines {
		crashes = append(crashes, engine.Crashes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes
}

// arrivals returns the requests that arrived at engines, by their id.
func (d *deployment) arrivals() map[string][]fake.Arrival {
	arrivals := make(map[string][]fake.Arrival)
	for _, engine := range d.engines {
		for _, arrival := range engine.Arrivals() {
			arrivals[arrival.ID] = append(arrivals[arrival.ID], arrival)
		}
	}
	return arrivals
}
