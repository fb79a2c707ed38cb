package place_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

const (
	waysWork lostWays = iota
	// waysRefuse refuse each connection at once.
	waysRefuse
	// waysHang leave each attempt without an end until its caller disconnects.
	waysHang
)

const (
	// cutAt is when ways are lost, cutWindow the time after it in which served calls are counted.
	cutAt     = 3 * time.Second
	cutWindow = 8 * time.Second
	// callerTimeout is when callers of the fleet disconnect.
	callerTimeout = 2 * time.Second
	// soundShare is the least fraction that sound hosts serve of what they serve without a cut; capacity suffices for
	// all hosts.
	soundShare = 0.9
)

// lostWays is what happens to the attempts of a host.
type lostWays int

func (w lostWays) String() string { return [...]string{"none", "refused", "hang"}[w] }

// lose ends an attempt of a host that reaches no upstream.
func (f *fleet) lose(h *fleetHost, start int, g place.Grant) {
	ending, after := place.EndUnreachable, time.Duration(0)
	if h.lostWays == waysHang {
		ending, after = place.EndCancelled, callerTimeout
	}
	f.after(after, func() {
		if h.starts == start && !h.isDown {
			h.now = f.now
			f.apply(h, h.handle(place.Ended{Call: g.Call, Ending: ending}))
		}
	})
	if ending == place.EndUnreachable {
		f.again(h, start, g)
	}
}

// soundServed returns the number of calls that began at the hosts that are never cut off, after the others
// lost their ways.
func soundServed(t *testing.T, service spoke.ServiceName, cut int, form lostWays) int {
	t.Helper()
	f := newFleet(t, 7, 9)
	f.service, f.callerTimeout = service, callerTimeout
	f.callsPerSecond = map[spoke.ServiceName]float64{models: 30, desk: 17}[service]
	f.at(cutAt.Seconds(), func() {
		for _, h := range f.hosts[:cut] {
			h.lostWays = form
		}
	})
	f.run((cutAt + cutWindow).Seconds())
	served := 0
	for _, h := range f.hosts[4:] {
		for _, at := range h.served {
			if at.Sub(f.start) >= cutAt {
				served++
			}
		}
	}
	return served
}

// Hosts lose their ways to all upstreams, and report failed connections and calls that wait or hang. Guards against
// sound hosts that take these reports for the state of the upstreams and refuse calls beside idle ones.
func TestCutOffHostsTakeNoUpstreamsFromOthers(t *testing.T) {
	for _, service := range []spoke.ServiceName{models, desk} {
		usual := soundServed(t, service, 0, waysWork)
		for _, form := range []lostWays{waysRefuse, waysHang} {
			for _, cut := range []int{1, 4} {
				t.Run(fmt.Sprintf("%s/%s/%d of 7", service, form, cut), func(t *testing.T) {
					served := soundServed(t, service, cut, form)
					t.Logf("%d calls served, %d without a cut", served, usual)
					assert.Assert(t, float64(served) >= soundShare*float64(usual), "%d calls served, %d without a cut", served, usual)
				})
			}
		}
	}
}
