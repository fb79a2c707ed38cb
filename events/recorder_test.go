package events_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/events"
	"magnoliaspoke.example/spoke/timer"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// Guards against effects that sort before their cause because the clocks of hosts differ.
func TestMergeKeepsCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clocks := make([]*timer.Manual, 3)
		hosts := make([]*events.Recorder, len(clocks))
		for i := range clocks {
			skew := rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "skew")
			clocks[i] = timer.NewManual(start.Add(time.Duration(skew)))
			hosts[i] = events.NewRecorder(spoke.HostID(rune('a'+i)), clocks[i], 1000)
		}
		// The ticket of each event is its position in the single chain of messages.
		current := 0
		steps := rapid.SliceOfN(rapid.IntRange(0, len(hosts)-1), 1, 50).Draw(t, "path")
		for step, next := range steps {
			clocks[next].Advance(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
			assert.Assert(t, hosts[next].Observe(hosts[current].Now()))
			hosts[next].Record(spoke.Event{Kind: "hop", Ticket: spoke.TicketNumber(step + 1)})
			current = next
		}
		var lists [][]spoke.Event
		for _, host := range hosts {
			lists = append(lists, host.Events(events.Filter{}), host.Events(events.Filter{}))
		}
		merged := events.Merge(lists...)
		assert.Equal(t, len(merged), len(steps))
		for i, event := range merged {
			assert.Equal(t, event.Ticket, spoke.TicketNumber(i+1))
		}
	})
}

// Guards against a host with a wrong clock that advances the clocks of all other hosts.
func TestObserveIgnoresReadingsFarAhead(t *testing.T) {
	host := events.NewRecorder("a", timer.NewManual(start), 1)
	assert.Assert(t, !host.Observe(spoke.HybridTime{Wall: start.Add(time.Hour).UnixNano()}))
	assert.Equal(t, host.Now().Wall, start.UnixNano())
}

// Guards against a ring buffer that grows, loses the newest event or miscounts the overwritten ones.
func TestRingKeepsNewestEvents(t *testing.T) {
	host := events.NewRecorder("a", timer.NewManual(start), 3)
	for i := range 5 {
		host.Record(spoke.Event{Kind: "step", Ticket: spoke.TicketNumber(i)})
	}
	kept := host.Events(events.Filter{})
	assert.Equal(t, len(kept), 3)
	assert.Equal(t, kept[0].Ticket, spoke.TicketNumber(2))
	assert.Equal(t, kept[2].Ticket, spoke.TicketNumber(4))
	assert.Equal(t, host.Overwritten(), uint64(2))
}

// Guards against data races between recording goroutines and a reader.
func TestRecordWhileReading(t *testing.T) {
	host := events.NewRecorder("a", timer.NewSystem(), 64)
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 1000 {
				host.Record(spoke.Event{Kind: "step"})
			}
		})
	}
	for range 100 {
		assert.Assert(t, len(host.Events(events.Filter{})) <= 64)
	}
	writers.Wait()
	assert.Equal(t, host.Recorded(), uint64(8000))
}

// Guards against a filter that passes events of other requests, upstreams, tickets or times.
func TestFilterPassesOnlyMatchingEvents(t *testing.T) {
	clock := timer.NewManual(start)
	host := events.NewRecorder("a", clock, 10)
	host.Record(spoke.Event{Kind: "first", Request: "r-1", Upstream: "u-1"})
	clock.Advance(time.Second)
	host.Record(spoke.Event{Kind: "second", Request: "r-2", Upstream: "u-1", Ticket: 7})
	cases := []struct {
		filter events.Filter
		want   string
	}{
		{events.Filter{Request: "r-1"}, "first"},
		{events.Filter{Upstream: "u-1"}, "first second"},
		{events.Filter{Ticket: 7}, "second"},
		{events.Filter{Since: start.Add(time.Second)}, "second"},
		{events.Filter{Until: start.Add(time.Second)}, "first"},
		{events.Filter{Request: "r-1", Ticket: 7}, ""},
	}
	for _, c := range cases {
		got := ""
		for i, event := range host.Events(c.filter) {
			if i > 0 {
				got += " "
			}
			got += string(event.Kind)
		}
		assert.Equal(t, got, c.want, "%+v", c.filter)
	}
}
