package peers_test

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/peers"
)

func sampleReport(now time.Time) spoke.HostReport {
	return spoke.HostReport{
		Host: "host-1", Sequence: 7, IsSnapshot: true, TakesNoDetours: true,
		Sent:      spoke.SentTime{Clock: 1 << 60, Reading: 11 * time.Millisecond},
		Upstreams: []spoke.HostUpstreamLoad{{Upstream: "e", Prefill: 5, Memory: 6, Runs: 7, CopyTime: 8 * time.Millisecond, HasGivenUp: true, Slack: 9 * time.Millisecond, SlackStreams: 3, BrokenAge: 10 * time.Millisecond, Checked: 2, CheckedAge: 11 * time.Millisecond}},
		Waiting:   []spoke.WaitingWork{{Service: "s", Urgency: 2, Calls: 4, Tokens: 9}, {Service: "t", Calls: 3, Tokens: 3}},
		Placed:    []spoke.PlacedPrompt{{Upstream: "e", Prefixes: []spoke.PromptPrefix{{Key: 1 << 63, Part: 2, Total: 3}}}},
		Paused:    map[spoke.UpstreamID]time.Duration{"e": time.Second},
		Doubts:    map[spoke.UpstreamID]time.Duration{"e": time.Second, "f": 0},
		Weights:   map[spoke.UpstreamID]spoke.ServedWeights{"e": {Model: "m", Version: 3}},
		Marks:     []spoke.QuarantineMark{{Fingerprint: "f", Deaths: 2, Upstreams: [spoke.MarkUpstreams]spoke.UpstreamID{"i-1"}, Falls: [spoke.MarkFalls]spoke.QuarantineFall{{Upstream: "i-2", At: now.Add(-time.Second)}}, Served: now.Add(-2 * time.Second), Expires: now.Add(time.Second)}},
		Stores:    []spoke.StoreState{{Store: "st", Epoch: 1 << 60, Used: 4, Stored: []spoke.StoredKey{1 << 63}, Freed: []spoke.StoredKey{2}, Clock: 5, Oldest: []spoke.ServedWeights{{Model: "m", Version: 2}}}},
		Leaving:   []spoke.UpstreamStart{{ID: "e"}, {ID: "f", Started: time.UnixMilli(7).UTC()}},
		Cold: []spoke.UpstreamColdness{
			{Upstream: spoke.UpstreamStart{ID: "e", Started: time.UnixMilli(7).UTC()}, Cause: "health", Age: 50 * time.Millisecond, Left: 2 * time.Second, IsAsked: true, AskedAge: time.Second, Sent: 3},
			{Upstream: spoke.UpstreamStart{ID: "f"}, Cause: "connection", IsOpen: true},
		},
		BrokenDoubts:  []spoke.UpstreamID{"f"},
		Brittle:       []spoke.UpstreamBrittleness{{Upstream: spoke.UpstreamStart{ID: "e", Started: time.UnixMilli(7).UTC()}, Most: 5, IsEnded: true, Age: 50 * time.Millisecond, Rejected: 3}},
		Limits:        []spoke.UpstreamLimit{{Upstream: spoke.UpstreamStart{ID: "e", Started: time.UnixMilli(7).UTC()}, Rate: 2.6, IsEnded: true, Age: 50 * time.Millisecond, Sent: 4}},
		Copies:        []spoke.CopyReport{{Source: "10.0.0.1:1", PendingTime: 30 * time.Millisecond, Completed: 2, MeanDelay: 900 * time.Millisecond}},
		Slowness:      []spoke.UpstreamSlowness{{Upstream: "e", Slowness: 2.5, Age: 40 * time.Millisecond}},
		Directory:     spoke.DirectoryView{Revision: 9, Age: time.Second, Table: spoke.TableReference{Version: 3, Content: spoke.ContentReference{Key: "k", ID: "d1"}}},
		Crashes:       sampleCrashes(),
		Software:      []spoke.ListedSoftware{{Service: "s", Software: "v1.2", Age: 3 * time.Second}},
		SoftwareKnown: 7 * time.Second,
		Origins:       []spoke.StreamOrigin{{Request: "r", Software: "v1", Age: 4 * time.Millisecond}, {Request: "q"}},
		WantedAges:    []spoke.WantedAge{{Wanted: spoke.WantedWeights{Model: "m", Version: 3}, Age: 2 * time.Second}},
	}
}

// Guards against fields that encoding and decoding lose or change.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	now := time.Now()
	raw, err := peers.Encode(sampleReport(now), now)
	assert.NilError(t, err)
	decoded, err := peers.Decode(raw, now)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, sampleReport(now))
}

// Guards against waiting plain calls of a host of an earlier version that count as none.
func TestWaitingWorkWithoutCallsCountsItsTokens(t *testing.T) {
	decoded, err := peers.Decode([]byte(`{"host":"host-1","waiting":[{"service":"s","urgency":2,"tokens":9}]}`), time.Now())
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Waiting, []spoke.WaitingWork{{Service: "s", Urgency: 2, Calls: 9, Tokens: 9}})
}

// Guards against an invalid datagram that ends Receive.
func TestReceiveContinuesAfterInvalidDatagram(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	receiver, err := peers.Listen(netip.MustParseAddrPort("127.0.0.1:0"), log)
	assert.NilError(t, err)
	sender, err := peers.Listen(netip.MustParseAddrPort("127.0.0.1:0"), log)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan spoke.HostReport, 2)
	ended := make(chan error, 1)
	go func() { ended <- receiver.Receive(ctx, func(report spoke.HostReport) { got <- report }) }()
	to := []netip.AddrPort{netip.MustParseAddrPort(string(receiver.Address()))}
	sender.Send(spoke.HostReport{}, to)
	sender.Send(sampleReport(time.Now()), to)
	assert.Equal(t, (<-got).Host, spoke.HostID("host-1"))
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
}

// FuzzDecode guards against datagrams that make Decode panic.
func FuzzDecode(f *testing.F) {
	raw, err := peers.Encode(sampleReport(time.Now()), time.Now())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"host":"a","upstreams":[{}],"placed":[{"prefixes":[[1]]}]}`))
	f.Add([]byte(`{"host":"a","crashes":[{},{"id":"e","age-ms":-9223372036854775808}],"served-parts":[{}],"part-marks":[{"term-ms":9223372036854775807}]}`))
	f.Add([]byte(`{"host":"a","software":[{},{"age-ms":9223372036854775807}],"origins":[{},{"request":"r","age-ms":-9223372036854775808}]}`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		// Any error is acceptable, as long as Decode returns.
		_, _ = peers.Decode(raw, time.Now())
	})
}
