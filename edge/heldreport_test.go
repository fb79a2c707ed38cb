package edge_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/config"
)

// A link holds the report back that says since when weights are wanted, while a call waits inside an engine on replaced
// ones. Guards against an age that counts from the receipt of the report.
func TestCallIsRecalledInTimeWhenReportOfAgeIsHeldBack(t *testing.T) {
	t.Parallel()
	const (
		limit = 6 * time.Second
		held  = 4 * time.Second
	)
	d := startWithSettings(t, 1, func(settings *config.Relay) { settings.WeightsApply, settings.OrdersPause = limit, time.Minute })
	answered := d.holdCall("waiting")
	peer := startPeer(t, "host-2")
	started := time.Now()
	peer.sendFull(d, time.Minute)
	wanted := spoke.WantedAge{Wanted: spoke.WantedWeights{Model: "model-a", Version: 2}}
	peer.sendFull(d, time.Minute-held, wanted)
	assertRecalled(t, answered, started, limit-held)
}

// sendFull sends a full report that was written at the given reading of the peer's clock.
func (p *fakePeer) sendFull(d *deployment, sent time.Duration, ages ...spoke.WantedAge) {
	p.send(d, spoke.HostReport{IsSnapshot: true, Sent: spoke.SentTime{Clock: 7, Reading: sent}, WantedAges: ages})
}

// Guards against full reports that do not say when they were sent, by one clock that advances.
func TestFullReportsSayWhenTheyWereSent(t *testing.T) {
	t.Parallel()
	d := start(t, 1)
	peer := startPeer(t, "host-2")
	peer.list(d)
	awaitTrue(t, "no two full reports", func() bool { return len(peer.sentTimes()) >= 2 })
	times := peer.sentTimes()
	assert.Equal(t, times[0].Clock, times[1].Clock)
	assert.Assert(t, times[0].Clock != 0)
	assert.Assert(t, times[1].Reading > times[0].Reading, "%v", times)
}

// sentTimes returns when the full reports that have arrived were sent.
func (p *fakePeer) sentTimes() []spoke.SentTime {
	p.mu.Lock()
	defer p.mu.Unlock()
	var times []spoke.SentTime
	for _, report := range p.received {
		if report.IsSnapshot {
			times = append(times, report.Sent)
		}
	}
	return times
}
