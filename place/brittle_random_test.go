package place_test

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
)

// Guards against sequences of changes of hosts in which hosts together have brittle upstreams reject more calls than they
// stand more often than twice.
func TestBrittleUpstreamsAreSparedInRandomSequences(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		service := rapid.SampledFrom([]spoke.ServiceName{models, desk}).Draw(rt, "service")
		most := rapid.IntRange(1, 12).Draw(rt, "most")
		f := newBrittleFleet(t, rapid.IntRange(2, 12).Draw(rt, "hosts"), service, rapid.Float64Range(0.3, 3).Draw(rt, "load"), most)
		f.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		f.brokenShare = rapid.Float64Range(0, 0.1).Draw(rt, "broken")
		hosts := f.hosts
		for range rapid.IntRange(0, 5).Draw(rt, "changes") {
			kind := rapid.SampledFrom([]string{"join", "restart", "stop", "cut", "fence"}).Draw(rt, "kind")
			h := hosts[rapid.IntRange(0, len(hosts)-1).Draw(rt, "host")]
			disturbances[kind](f, h, rapid.Float64Range(3, 12).Draw(rt, "at"), rapid.Float64Range(0.1, 6).Draw(rt, "seconds"))
		}
		f.run(16)
		falls := 0
		for _, e := range f.engines {
			falls += e.brittle.falls
		}
		if falls > 2 {
			rt.Fatalf("%d falls: %v", falls, f.violations)
		}
	})
}
