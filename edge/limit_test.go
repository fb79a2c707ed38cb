package edge_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	// Calls are sent for limitedFor at an interval of limitedCallInterval at each of limitedHosts hosts.
	limitedHosts        = 3
	limitedFor          = 9 * time.Second
	limitedCallInterval = 60 * time.Millisecond
	// limitedTarget is the latency target of the routes.
	limitedTarget = 300 * time.Millisecond
)

// Guards against limits of upstreams that neither log nor metrics show, and that do not reach the caller.
func TestNamedLimitIsLogged(t *testing.T) {
	d := start(t, 1)
	d.engines[0].SetLimit("40.5")
	got, err := d.send(lookCall("named"))
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.header.Get("Server-Limit"), "40.5")
	awaitTrue(t, "limit not logged", func() bool { return d.hasLogged(`"limit":40.5`) && d.hasLogged("upstream named a limit in an answer") })
	assert.Assert(t, strings.Contains(d.metricsPage(), `"limited": 1`))
}

// Guards against a malformed limit that suspends an upstream or is not logged.
func TestMalformedLimitIsIgnored(t *testing.T) {
	for i, text := range []string{"plenty", "-3", "NaN"} {
		d := start(t, 1)
		d.engines[0].SetLimit(text)
		for j := range 12 {
			got, err := d.send(lookCall(fmt.Sprint("call-", i, "-", j)))
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusOK)
		}
		awaitTrue(t, "malformed limit not logged", func() bool { return d.hasLogged(text) })
	}
}

// Guards against hosts that together send an upstream more calls than the limit which it names in its answers,
// by first attempts, repeats or streams.
func TestHostsKeepLimitOverProcesses(t *testing.T) {
	d := start(t, 4)
	hosts := []*deployment{d}
	for i := 1; i < limitedHosts; i++ {
		hosts = append(hosts, d.addHost(spoke.HostID(fmt.Sprint("host-", i+1))))
	}
	for i := range 30 {
		_, err := hosts[i%limitedHosts].send(chatCall(fmt.Sprint("before-", i)))
		assert.NilError(t, err)
	}
	// The engines that the hosts prefer name limits.
	slices.SortFunc(d.engines, func(a, b *fake.Engine) int { return len(b.Arrivals()) - len(a.Arrivals()) })
	d.engines[0].SetLimit("2")
	d.engines[1].SetLimit("0.5")
	begin := time.Now()
	tick := time.NewTicker(limitedCallInterval)
	defer tick.Stop()
	statuses := make(chan int, 1000)
	sent := 0
	for ; time.Since(begin) < limitedFor; sent += limitedHosts {
		<-tick.C
		for i, host := range hosts {
			kinds := []func(string) call{chatCall, lookCall, bookCall}
			c := kinds[sent/limitedHosts%len(kinds)](fmt.Sprint("call-", sent+i))
			go func() {
				got, err := host.send(c)
				if err != nil {
					got.status = 0
				}
				statuses <- got.status
			}()
		}
	}
	for range sent {
		assert.Equal(t, <-statuses, http.StatusOK)
	}
	assertLimitKept(t, begin, d.engines[0].Arrivals(), 2)
	assertLimitKept(t, begin, d.engines[1].Arrivals(), 0.5)
}

// Guards against calls that wait for an upstream whose limit leaves no room, that are sent all the same, or
// that are refused without a time to come back.
func TestCallsAboveLimitAreRefusedAtOnce(t *testing.T) {
	d := start(t, 1)
	d.engines[0].SetLimit("0.4")
	served := 0
	for i := range 40 {
		c := []call{lookCall(fmt.Sprint("call-", i)), chatCall(fmt.Sprint("call-", i)), bookCall(fmt.Sprint("call-", i))}[i%3]
		begin := time.Now()
		got, err := d.send(c)
		assert.NilError(t, err)
		if got.status == http.StatusOK {
			served++
			continue
		}
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(begin) < limitedTarget, "%s", time.Since(begin))
		hint, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
		assert.NilError(t, err)
		assert.Assert(t, hint >= 100*time.Millisecond && hint <= 4*time.Second, "%s", hint)
	}
	// A limit of 0.4 allows seven calls in 4 s, one and a half times itself and five.
	assert.Assert(t, served >= 1 && served <= 7, "%d calls", served)
	assert.Equal(t, len(d.engines[0].Arrivals()), served)
	awaitTrue(t, "reason not logged", func() bool { return d.hasLogged("upstreams-limited") })
}

// assertLimitKept fails the test if more calls arrived in some span of 4 s, from 3 s after the begin, than a
// limit allows.
func assertLimitKept(t *testing.T, begin time.Time, arrivals []fake.Arrival, rate float64) {
	t.Helper()
	allowed := int(1.5*4*rate + 5)
	for last, arrival := range arrivals {
		at := arrival.At
		if at.Sub(begin) < 3*time.Second {
			continue
		}
		count := 0
		for _, earlier := range arrivals[:last+1] {
			if at.Sub(earlier.At) < 4*time.Second {
				count++
			}
		}
		assert.Assert(t, count <= allowed, "%d calls in 4 s at %s, limit %g allows %d", count, at.Sub(begin), rate, allowed)
	}
}
