package edge_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
)

// Guards against load reports that repeat unchanged marks of requests each time: after crashes of many engines they
// filled the links of small hosts.
func TestMarksAreRepeatedInFullReportsOnly(t *testing.T) {
	const minReports = 10
	d := start(t, 1)
	peer := startPeer(t, "host-2")
	peer.list(d)
	awaitTrue(t, "no full report", func() bool { return len(peer.sentTimes()) > 0 })
	sendReports(t, d, spoke.HostReport{Host: "host-9", Marks: []spoke.QuarantineMark{{
		Fingerprint: "f-1", Deaths: 1, Expires: time.Now().Add(20 * time.Second), Upstreams: [spoke.MarkUpstreams]spoke.UpstreamID{"i-9"},
	}}})
	for i := 0; ; i++ {
		full, partial := peer.marked()
		if full.marked >= 3 && partial.all >= minReports {
			assert.Assert(t, partial.marked <= 1, "%d of %d partial reports have the mark", partial.marked, partial.all)
			return
		}
		_, err := d.send(lookCall(fmt.Sprint("call-", i)))
		assert.NilError(t, err)
	}
}

// reportCount counts load reports, and those with marks.
type reportCount struct{ all, marked int }

// marked counts the full and the other load reports that have arrived since the first one with a mark.
func (p *fakePeer) marked() (full, partial reportCount) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, report := range p.received {
		count := &partial
		if report.IsSnapshot {
			count = &full
		}
		if len(report.Marks) > 0 {
			count.marked++
		}
		if full.marked+partial.marked > 0 {
			count.all++
		}
	}
	return full, partial
}
