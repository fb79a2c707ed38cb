package eventstream_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/eventstream"
)

const (
	maxEvent = 64
	events   = "id: 1\ndata: a\n\nlower: 2\nid: 2\ndata: b:c\n\n: comment\n\n"
)

// split feeds parts to a splitter and returns the events, and the tail behind the last of them.
func split(parts ...string) (string, eventstream.Tail) {
	splitter := eventstream.New(maxEvent)
	var got strings.Builder
	tail := eventstream.Open
	for _, part := range parts {
		for part != "" {
			n := copy(splitter.Space(), part)
			part = part[n:]
			var added []byte
			added, tail = splitter.Add(n)
			got.Write(added)
		}
	}
	return got.String(), tail
}

// Guards against whole events that are lost with bytes behind them, and against results that depend on how the bytes are cut
// into reads.
func TestEventsDoNotDependOnReads(t *testing.T) {
	for rest, want := range map[string]eventstream.Tail{
		"":                                    eventstream.Open,
		"id: 3\ndata: pie":                    eventstream.Open,
		"i":                                   eventstream.Open,
		"HTTP/1.1 200 O":                      eventstream.Open,
		"HTTP/1.1 200 OK\r\n":                 eventstream.Head,
		"HTTP/1.0 503\r\nA: b":                eventstream.Head,
		"HTTP/1.1 200 OK\nid: 1\ndata: a\n\n": eventstream.Head,
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\nid: 3\ndata: c\n\n": eventstream.Head,
		"HTTP/2 200\r\n":                 eventstream.NoEvent,
		"HTTP/1.1 2xx\r\n":               eventstream.NoEvent,
		"no event\n\nid: 3\ndata: c\n\n": eventstream.NoEvent,
		"\x00\xff":                       eventstream.NoEvent,
		"\n":                             eventstream.NoEvent,
		"id\n":                           eventstream.NoEvent,
		"id: 3\ndata: pieHTTP/1.1 200 OK\r\nA: b\r\n\r\nid: 3\ndata: c\n\n":            eventstream.NoEvent,
		"data: " + strings.Repeat("x", maxEvent):                                       eventstream.TooLarge,
		"data: " + strings.Repeat("x", maxEvent) + "\n\nid: 3\ndata: c\n\n":            eventstream.TooLarge,
		"HTTP/1.1 200 " + strings.Repeat("x", maxEvent):                                eventstream.TooLarge,
		"HTTP/1.1 200 " + strings.Repeat("x", maxEvent) + "\r\n\r\nid: 3\ndata: c\n\n": eventstream.TooLarge,
		"data: " + strings.Repeat("x", maxEvent) + "\n\r\nid: 3\ndata: c\n\n":          eventstream.TooLarge,
		strings.Repeat("x", maxEvent) + " \n\n":                                        eventstream.TooLarge,
	} {
		t.Run(rest, func(t *testing.T) {
			text := events + rest
			for i := range len(text) + 1 {
				got, tail := split(text[:i], text[i:])
				assert.Equal(t, got, events, "cut at %d", i)
				assert.Equal(t, tail, want, "cut at %d", i)
			}
			got, tail := split(strings.Split(text, "")...)
			assert.Equal(t, got, events)
			assert.Equal(t, tail, want)
		})
	}
}

// Guards against a limit that cuts events which keep it.
func TestEventsOfTheLargestSizeAreKept(t *testing.T) {
	event := "data: " + strings.Repeat("x", maxEvent-len("data: \n\n")) + "\n\n"
	for i := range len(event) {
		got, tail := split(events, event[:i], event[i:])
		assert.Equal(t, got, events+event)
		assert.Equal(t, tail, eventstream.Open)
	}
}

// BenchmarkSplit measures the time and allocations of a stream of small events, each in a read of its own.
func BenchmarkSplit(b *testing.B) {
	const event = "id: 1234\ndata: a piece of a usual length\n\n"
	splitter := eventstream.New(1 << 17)
	b.ReportAllocs()
	for b.Loop() {
		splitter.Add(copy(splitter.Space(), event))
	}
}
