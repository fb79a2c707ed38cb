package edge_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fake "magnoliaspoke.example/spoke/fake/platform"
)

const (
	// lateFirstEvent is a time after the one in which callers of streams wait for the first event on the table of these
	// tests, which is two seconds.
	lateFirstEvent = 2150 * time.Millisecond
	// earlyFirstEvent is before it.
	earlyFirstEvent = 1000 * time.Millisecond
)

// Guards against streams that go on at another engine although their first event came after their caller's time for it
// had run out, so that engines work for callers that have left. The event itself and those behind it are delivered.
func TestStreamThatBeginsLateGoesOnNowhere(t *testing.T) {
	for _, c := range []struct {
		name       string
		firstEvent time.Duration
		behaviour  fake.Behaviour
		// silence is the time between the first event and the second.
		silence      time.Duration
		wantedRuns   int
		wantsBreak   bool
		wantedEvents string
	}{
		{"late and broken", lateFirstEvent, fake.ResetMidway, 0, 1, true, "id: 1\ndata: piece 1\n\n"},
		{"late and silent", lateFirstEvent, fake.Serve, longStall, 1, false, wholeStream},
		{"in time and broken", earlyFirstEvent, fake.ResetMidway, 0, 2, false, wholeStream},
		{"in time and silent", earlyFirstEvent, fake.Serve, longStall, 2, false, wholeStream},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := start(t, 2)
			d.putImpatientTable()
			for _, engine := range d.engines {
				engine.SetBehaviour(c.behaviour)
				engine.SetStall(fake.Stall{For: c.firstEvent}, fake.Stall{After: 1, For: c.silence})
				engine.SetEventInterval(100 * time.Millisecond)
			}
			got := d.sendPatiently(longCall(chatCall("late")))
			assert.Equal(t, got.err != nil, c.wantsBreak, "%v", got.err)
			assert.Equal(t, got.answer.body, c.wantedEvents)
			assert.Equal(t, len(runsOf(chatCall("late"), d.engines)), c.wantedRuns)
		})
	}
}

// putImpatientTable puts a table on which calls may last long and callers wait two seconds for the first event.
func (d *deployment) putImpatientTable() {
	next := table(2, "key-2")
	for _, route := range next["routes"].([]any) {
		route.(map[string]any)["timeout-ms"] = 30000
		route.(map[string]any)["gap-aim-ms"] = 100
	}
	d.store.Put("op/config", next)
	awaitTrue(d.t, "new table not known", func() bool { return d.bookingStatus("probe", "key-2") == http.StatusOK })
}

// sendPatiently makes a call whose caller waits for longer than it has to.
func (d *deployment) sendPatiently(c call) result {
	request := d.request(c)
	request.Header.Set("Magnoliaspoke-Deadline-Ms", "20000")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return result{answer{status: response.StatusCode, body: string(body)}, err}
}
