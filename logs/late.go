package logs

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// LateByRepeat is a stream whose call was sent more than once.
	LateByRepeat LateCause = "sent-again"
	// LateByWaiting is a stream that waited at the host for longer than for anything else.
	LateByWaiting LateCause = "waited-at-host"
	// LateByLoad is a stream whose first event was expected late, since all engines were busy.
	LateByLoad LateCause = "expected-late"
	// LateByCopies is a stream whose copies took longer than expected.
	LateByCopies LateCause = "copies-late"
	// LateByCache is a stream whose cached beginning was not there, or read late.
	LateByCache LateCause = "cached-part-late"
	// LateByReading is a stream whose engine read it more slowly than expected.
	LateByReading LateCause = "reading-late"
	// LateByPause is a stream that was late only by a pause between two events.
	LateByPause LateCause = "pause"

	messagePlaced   = "placed"
	messageBegan    = "stream began"
	messageAnswered = "answered"

	// cachedPart is the part of a prompt from which on its cached beginning counts as a cause.
	cachedPart = 1.0 / 3
)

type (
	// LateCause says why a stream was late.
	LateCause string

	// LateRoute sums up the streams of a route.
	LateRoute struct {
		Route   spoke.RouteName
		Streams int
		// Causes counts the late streams; each has one cause.
		Causes map[LateCause]int
		// Off holds how much later than expected first events came at the tenth, fiftieth and ninetieth
		// of a hundred.
		Lateness [3]time.Duration
	}

	// streamLines are the lines of one stream.
	streamLines struct {
		placed   []Entry
		began    *Entry
		answered *Entry
	}
)

// Late returns why streams were late by route, from lines of hosts that name the targets.
func LateStreams(entries []Entry) []LateRoute {
	routes := make(map[spoke.RouteName]*LateRoute)
	offs := make(map[spoke.RouteName][]time.Duration)
	streams := collectStreams(entries)
	for _, request := range slices.Sorted(maps.Keys(streams)) {
		lines := streams[request]
		if lines.began == nil || len(lines.placed) == 0 {
			continue
		}
		name := spoke.RouteName(lines.last().value("route"))
		if routes[name] == nil {
			routes[name] = &LateRoute{Route: name, Causes: make(map[LateCause]int)}
		}
		routes[name].Streams++
		offs[name] = append(offs[name], lines.off())
		if cause := lines.cause(); cause != "" {
			routes[name].Causes[cause]++
		}
	}
	var sorted []LateRoute
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		routes[name].Lateness = percentiles(offs[name])
		sorted = append(sorted, *routes[name])
	}
	return sorted
}

// Sorted returns the causes with the most frequent first.
func (r LateRoute) SortedCauses() []LateCause {
	return slices.SortedFunc(maps.Keys(r.Causes), func(a, b LateCause) int {
		return cmp.Or(cmp.Compare(r.Causes[b], r.Causes[a]), cmp.Compare(a, b))
	})
}

func collectStreams(entries []Entry) map[spoke.RequestID]*streamLines {
	streams := make(map[spoke.RequestID]*streamLines)
	for i, entry := range entries {
		if entry.Request == "" {
			continue
		}
		if streams[entry.Request] == nil {
			streams[entry.Request] = &streamLines{}
		}
		lines := streams[entry.Request]
		switch entry.Message {
		case messagePlaced:
			lines.placed = append(lines.placed, entry)
		case messageBegan:
			lines.began = &entries[i]
		case messageAnswered:
			lines.answered = &entries[i]
		}
	}
	return streams
}

func (l *streamLines) last() Entry { return l.placed[len(l.placed)-1] }

// off returns how much later than expected the first event came.
func (l *streamLines) off() time.Duration {
	return l.began.time("first-event") - l.last().time("waited") - l.last().time("predicted")
}

// cause returns why the stream was late, or nothing if it was on time.
func (l *streamLines) cause() LateCause {
	if l.began.time("first-event") > l.began.time("target") {
		return l.firstCause()
	}
	if l.answered == nil {
		return ""
	}
	if target := l.answered.time("gap-target"); target > 0 && l.answered.time("widest-gap") > target {
		return LateByPause
	}
	return ""
}

// firstCause returns what took the most of the time to the first event.
func (l *streamLines) firstCause() LateCause {
	last := l.last()
	waited, predicted, off := last.time("waited"), last.time("predicted"), l.off()
	switch {
	case len(l.placed) > 1:
		return LateByRepeat
	case waited > max(predicted, off):
		return LateByWaiting
	case predicted > off:
		return LateByLoad
	case last.number("fetched") > 0:
		return LateByCopies
	case last.number("cached") > cachedPart*last.number("prompt"):
		return LateByCache
	}
	return LateByReading
}

// time returns a field that is a duration; one that cannot be read counts as none.
func (e Entry) time(name string) time.Duration {
	took, err := time.ParseDuration(e.value(name))
	if err != nil {
		return 0
	}
	return took
}

// number returns a field that is a number; one that cannot be read counts as none.
func (e Entry) number(name string) float64 {
	value, err := strconv.ParseFloat(e.value(name), 64)
	if err != nil {
		return 0
	}
	return value
}

func percentiles(of []time.Duration) [3]time.Duration {
	slices.Sort(of)
	return [3]time.Duration{of[len(of)/10], of[len(of)/2], of[len(of)*9/10]}
}
