package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
)

// disturbances are changes of the hosts or upstreams of a fleet; each applies to one host and ends after some
// seconds.
var disturbances = map[string]func(f *fleet, h *fleetHost, at, seconds float64){
	"join": func(f *fleet, _ *fleetHost, at, seconds float64) {
		f.at(at, func() { f.join(); f.announce(time.Duration(seconds * float64(time.Second) / 3)) })
	},
	"restart": func(f *fleet, h *fleetHost, at, _ float64) { f.at(at, func() { f.boot(h) }) },
	"stop": func(f *fleet, h *fleetHost, at, seconds float64) {
		f.at(at, func() { h.isDown = true; f.announce(1500 * time.Millisecond) })
		f.at(at+seconds, func() { f.boot(h); f.announce(300 * time.Millisecond) })
	},
	"cut": func(f *fleet, h *fleetHost, at, seconds float64) {
		f.at(at, func() { h.isCut = true })
		f.at(at+seconds, func() { h.isCut = false })
	},
	"fence": func(f *fleet, h *fleetHost, at, seconds float64) {
		f.at(at, func() { h.isFenced = true; f.announce(100 * time.Millisecond) })
		f.at(at+seconds, func() { h.isFenced = false; f.announce(100 * time.Millisecond) })
	},
}

// Guards against sequences of changes of hosts, upstreams and limits in which hosts together exceed a limit.
func TestLimitIsKeptInRandomSequences(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, rapid.IntRange(1, 12).Draw(rt, "hosts"), rapid.IntRange(1, 9).Draw(rt, "engines"))
		f.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		f.callsPerSecond = rapid.Float64Range(2, 30).Draw(rt, "calls a second")
		f.brokenShare = rapid.Float64Range(0, 0.1).Draw(rt, "broken")
		f.shedShare, f.resumedShare = f.brokenShare, f.brokenShare
		times, rates := rapid.Float64Range(5, 14), rapid.Float64Range(-1, 12)
		for range rapid.IntRange(1, 6).Draw(rt, "limits") {
			id := engine(rapid.IntRange(0, len(f.engines)-3).Draw(rt, "engine")).ID
			rate := spoke.RequestRate(rates.Draw(rt, "rate"))
			f.at(times.Draw(rt, "from"), func() { f.limit(id, rate) })
		}
		hosts := f.hosts
		for range rapid.IntRange(0, 5).Draw(rt, "changes") {
			kind := rapid.SampledFrom([]string{"join", "restart", "stop", "cut", "fence"}).Draw(rt, "kind")
			h := hosts[rapid.IntRange(0, len(hosts)-1).Draw(rt, "host")]
			disturbances[kind](f, h, times.Draw(rt, "at"), rapid.Float64Range(0.1, 6).Draw(rt, "seconds"))
		}
		f.run(18)
		if len(f.violations) > 0 {
			rt.Fatalf("%d violations, first: %v", len(f.violations), f.violations[0])
		}
	})
}
