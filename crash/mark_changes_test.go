package crash_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/crash"
)

// Guards against load reports that repeat all marks each time, so that crashes of many engines fill the links of small
// hosts.
func TestMarksAreSentAgainOnlyOnceTheyChange(t *testing.T) {
	begin := time.Unix(1000, 0)
	mark := func(i int) spoke.QuarantineMark {
		return spoke.QuarantineMark{Fingerprint: spoke.Fingerprint(fmt.Sprint("f-", i)), Deaths: 1, Expires: begin.Add(30 * time.Second), Upstreams: [spoke.MarkUpstreams]spoke.UpstreamID{"i-1"}}
	}
	marks := []spoke.QuarantineMark{mark(1), mark(2)}
	var changes crash.MarkChanges
	at := func(after time.Duration, isFull bool) []spoke.QuarantineMark {
		return changes.Select(begin.Add(after), marks, isFull)
	}
	assert.DeepEqual(t, at(0, false), marks)
	marks[0].Expires = marks[0].Expires.Add(5 * time.Millisecond)
	assert.Equal(t, len(at(100*time.Millisecond, false)), 0)
	assert.DeepEqual(t, at(time.Second, true), marks)

	marks[1].Deaths = 2
	assert.DeepEqual(t, at(1100*time.Millisecond, false), marks[1:])
	marks[1].Upstreams[1] = "i-2"
	assert.DeepEqual(t, at(1200*time.Millisecond, false), marks[1:])
	marks[1].Expires = marks[1].Expires.Add(30 * time.Second)
	assert.DeepEqual(t, at(1300*time.Millisecond, false), marks[1:])
	marks = append(marks, mark(3))
	assert.DeepEqual(t, at(1400*time.Millisecond, false), marks[2:])
	assert.Equal(t, len(at(1500*time.Millisecond, false)), 0)

	marks[2].Falls[0] = spoke.QuarantineFall{Upstream: "i-3", At: begin}
	assert.DeepEqual(t, at(1600*time.Millisecond, false), marks[2:])
	marks[2].Falls[0].At = begin.Add(5 * time.Millisecond)
	assert.Equal(t, len(at(1700*time.Millisecond, false)), 0)
	marks[2].Falls[0].At = begin.Add(4 * time.Second)
	assert.DeepEqual(t, at(1800*time.Millisecond, false), marks[2:])
	marks[2].Served = begin.Add(5 * time.Second)
	assert.DeepEqual(t, at(1900*time.Millisecond, false), marks[2:])
}

// Guards against a mark that is not sent although its receivers have dropped the one that expired.
func TestMarkIsSentAgainOnceItHasExpired(t *testing.T) {
	begin := time.Unix(1000, 0)
	mark := spoke.QuarantineMark{Fingerprint: "f", Deaths: 1, Expires: begin.Add(time.Second / 2)}
	var changes crash.MarkChanges
	assert.Equal(t, len(changes.Select(begin, []spoke.QuarantineMark{mark}, false)), 1)
	mark.Expires = begin.Add(1200 * time.Millisecond)
	assert.Equal(t, len(changes.Select(begin.Add(time.Second), []spoke.QuarantineMark{mark}, false)), 1)
}
