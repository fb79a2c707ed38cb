package split_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaspoke.example/spoke/split"
)

const (
	maxEvent = 64
	events   = "id: 1\ndata: a\n\nlower: 2\nid: 2\ndata: b:c\n\n: comment\n\n"
)

// splitReads feeds parts to a splitter and returns the events, and the tail behind the last of them.
func splitReads(parts ...string) (string, split.Tail) {
	splitter := split.New(maxEvent)
	var got strings.Builder
	tail := split.Open
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
	for rest, want := range map[string]split.Tail{
		"":                                    split.Open,
		"id: 3\ndata: pie":                    split.Open,
		"i":                                   split.Open,
		"HTTP/1.1 200 O":                      split.Open,
		"HTTP/1.1 200 OK\r\n":                 split.Head,
		"HTTP/1.0 503\r\nA: b":                split.Head,
		"HTTP/1.1 200 OK\nid: 1\ndata: a\n\n": split.Head,
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\nid: 3\ndata: c\n\n": split.Head,
		"HTTP/2 200\r\n":                 split.NoEvent,
		"HTTP/1.1 2xx\r\n":               split.NoEvent,
		"no event\n\nid: 3\ndata: c\n\n": split.NoEvent,
		"\x00\xff":                       split.NoEvent,
		"\n":                             split.NoEvent,
		"id\n":                           split.NoEvent,
		"id: 3\ndata: pieHTTP/1.1 200 OK\r\nA: b\r\n\r\nid: 3\ndata: c\n\n":            split.NoEvent,
		"data: " + strings.Repeat("x", maxEvent):                                       split.TooLarge,
		"data: " + strings.Repeat("x", maxEvent) + "\n\nid: 3\ndata: c\n\n":            split.TooLarge,
		"HTTP/1.1 200 " + strings.Repeat("x", maxEvent):                                split.TooLarge,
		"HTTP/1.1 200 " + strings.Repeat("x", maxEvent) + "\r\n\r\nid: 3\ndata: c\n\n": split.TooLarge,
		"data: " + strings.Repeat("x", maxEvent) + "\n\r\nid: 3\ndata: c\n\n":          split.TooLarge,
		strings.Repeat("x", maxEvent) + " \n\n":                                        split.TooLarge,
	} {
		t.Run(rest, func(t *testing.T) {
			text := events + rest
			for i := range len(text) + 1 {
				got, tail := splitReads(text[:i], text[i:])
				assert.Equal(t, got, events, "cut at %d", i)
				assert.Equal(t, tail, want, "cut at %d", i)
			}
			got, tail := splitReads(strings.Split(text, "")...)
			assert.Equal(t, got, events)
			assert.Equal(t, tail, want)
		})
	}
}

// Guards against a limit that cuts events which keep it.
func TestEventsOfTheLargestSizeAreKept(t *testing.T) {
	event := "data: " + strings.Repeat("x", maxEvent-len("data: \n\n")) + "\n\n"
	for i := range len(event) {
		got, tail := splitReads(events, event[:i], event[i:])
		assert.Equal(t, got, events+event)
		assert.Equal(t, tail, split.Open)
	}
}

// BenchmarkSplit measures the time and allocations of a stream of small events, each in a read of its own.
func BenchmarkSplit(b *testing.B) {
	const event = "id: 1234\ndata: a piece of a usual length\n\n"
	splitter := split.New(1 << 17)
	b.ReportAllocs()
	for b.Loop() {
		splitter.Add(copy(splitter.Space(), event))
	}
}
