package events_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/events"
)

func sample() []spoke.Event {
	wall := start.UnixNano()
	return []spoke.Event{
		{At: spoke.HybridTime{Wall: wall}, Host: "a", Kind: "received", Request: "r-1"},
		{
			At: spoke.HybridTime{Wall: wall + int64(3*time.Millisecond), Logical: 2}, Host: "b", Kind: "run",
			Request: "r-1", Attempt: "r-1.1", Upstream: "u-1", Ticket: 7, Detail: "200", Duration: 2 * time.Millisecond,
		},
		{At: spoke.HybridTime{Wall: wall + int64(4*time.Millisecond)}, Host: "b", Kind: "ticket-in-force", Ticket: 8},
	}
}

// Guards against fields that are lost between a host and the operator's command.
func TestCodecRoundTrip(t *testing.T) {
	text, err := events.Encode(sample())
	assert.NilError(t, err)
	decoded, err := events.Decode(text)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, sample())

	_, err = events.Decode([]byte(`[{"at":"12"}]`))
	assert.ErrorContains(t, err, `event 0: clock reading "12" has no logical part`)
}

// Guards against text output whose columns lack ids or times.
func TestTextOutputHasIDsAndTimes(t *testing.T) {
	var output bytes.Buffer
	assert.NilError(t, events.WriteText(&output, sample()))
	want := `TIME                         HOST  EVENT            IDS                                              DURATION  DETAIL
2026-03-01T12:00:00.000000Z  a     received         request=r-1                                      -         
2026-03-01T12:00:00.003000Z  b     run              request=r-1 attempt=r-1.1 upstream=u-1 ticket=7  2ms       200
2026-03-01T12:00:00.004000Z  b     ticket-in-force  ticket=8                                         -         
`
	assert.Equal(t, output.String(), want)
}

// Guards against a trace file that a browser's viewer rejects or whose events are in the wrong thread.
func TestTraceFileHasValidThreads(t *testing.T) {
	var output bytes.Buffer
	assert.NilError(t, events.WriteTrace(&output, sample()))
	var trace struct {
		TraceEvents []struct {
			Name, Ph string
			Ts, Dur  float64
			Pid, Tid int
			Args     map[string]any
		}
	}
	assert.NilError(t, json.Unmarshal(output.Bytes(), &trace))
	assert.Equal(t, len(trace.TraceEvents), 7)
	run := trace.TraceEvents[5]
	assert.Equal(t, run.Name+run.Ph, "runX")
	assert.Equal(t, run.Dur, 2000.0)
	assert.Equal(t, run.Ts, float64(start.UnixMicro()+1000))
	assert.Equal(t, run.Pid, 2)
	assert.Equal(t, run.Tid, 1)
	assert.Equal(t, run.Args["upstream"], "u-1")
	last := trace.TraceEvents[6]
	assert.Equal(t, last.Ph, "i")
	assert.Equal(t, last.Tid, 0)
}
