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
	// LateByRetry marks a stream whose call was sent more than once.
	LateByRetry LateCause = "sent-again"
	// LateByWaiting marks a stream that spent most of the time waiting at the host.
	LateByWaiting LateCause = "waited-at-host"
	// LateByLoad marks a stream whose first event was expected late, since all engines were busy.
	LateByLoad LateCause = "expected-late"
	// LateByCopies marks a stream whose cached prompt parts took longer to copy than expected.
	LateByCopies LateCause = "copies-late"
	// LateByCache marks a stream whose cached prefix was missing at the engine, or read late.
	LateByCache LateCause = "cached-part-late"
	// LateByPrefill marks a stream whose prompt the engine processed more slowly than expected.
	LateByPrefill LateCause = "reading-late"
	// LateByPause marks a stream that was late only by a pause between two events.
	LateByPause LateCause = "pause"

	messagePlaced   = "placed"
	messageBegan    = "stream began"
	messageAnswered = "answered"

	// minCachedShare is the share of a prompt above which a cached prefix counts as a cause.
	minCachedShare = 1.0 / 3
)

type (
	// LateCause is why a stream was late.
	LateCause string

	// LateRoute summarises the streams of a route.
	LateRoute struct {
		Route   spoke.RouteName
		Streams int
		// Causes counts the late streams; each has one cause.
		Causes map[LateCause]int
		// Lateness holds the 10th, 50th and 90th percentiles of how much later than expected the first
		// event came.
		Lateness [3]time.Duration
	}

	// streamLines are the log lines of one stream.
	streamLines struct {
		placed   []Entry
		began    *Entry
		answered *Entry
	}
)

// LateStreams returns, for each route, how many streams were late and why. The entries must be of hosts
// that log the targets.
func LateStreams(entries []Entry) []LateRoute {
	routes := make(map[spoke.RouteName]*LateRoute)
	latenesses := make(map[spoke.RouteName][]time.Duration)
	streams := collectStreams(entries)
	for _, request := range slices.Sorted(maps.Keys(streams)) {
		lines := streams[request]
		if lines.began == nil || len(lines.placed) == 0 {
			continue
		}
		name := spoke.RouteName(lines.lastPlaced().value("route"))
		if routes[name] == nil {
			routes[name] = &LateRoute{Route: name, Causes: make(map[LateCause]int)}
		}
		routes[name].Streams++
		latenesses[name] = append(latenesses[name], lines.lateness())
		if cause := lines.cause(); cause != "" {
			routes[name].Causes[cause]++
		}
	}
	var sorted []LateRoute
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		routes[name].Lateness = percentiles(latenesses[name])
		sorted = append(sorted, *routes[name])
	}
	return sorted
}

// SortedCauses returns the causes, the most frequent first.
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

func (l *streamLines) lastPlaced() Entry { return l.placed[len(l.placed)-1] }

// lateness returns how much later than expected the first event came.
func (l *streamLines) lateness() time.Duration {
	return l.began.time("first-event") - l.lastPlaced().time("waited") - l.lastPlaced().time("predicted")
}

// cause returns why the stream was late, empty if it was on time.
func (l *streamLines) cause() LateCause {
	if l.began.time("first-event") > l.began.time("target") {
		return l.firstEventCause()
	}
	if l.answered == nil {
		return ""
	}
	if target := l.answered.time("gap-target"); target > 0 && l.answered.time("widest-gap") > target {
		return LateByPause
	}
	return ""
}

// firstEventCause returns what took most of the time to the first event.
func (l *streamLines) firstEventCause() LateCause {
	last := l.lastPlaced()
	waited, predicted, lateness := last.time("waited"), last.time("predicted"), l.lateness()
	switch {
	case len(l.placed) > 1:
		return LateByRetry
	case waited > max(predicted, lateness):
		return LateByWaiting
	case predicted > lateness:
		return LateByLoad
	case last.number("fetched") > 0:
		return LateByCopies
	case last.number("cached") > minCachedShare*last.number("prompt"):
		return LateByCache
	}
	return LateByPrefill
}

// time returns the value of a duration field, zero if it is missing or invalid.
func (e Entry) time(name string) time.Duration {
	took, err := time.ParseDuration(e.value(name))
	if err != nil {
		return 0
	}
	return took
}

// number returns the value of a numeric field, zero if it is missing or invalid.
func (e Entry) number(name string) float64 {
	value, err := strconv.ParseFloat(e.value(name), 64)
	if err != nil {
		return 0
	}
	return value
}

func percentiles(values []time.Duration) [3]time.Duration {
	slices.Sort(values)
	return [3]time.Duration{values[len(values)/10], values[len(values)/2], values[len(values)*9/10]}
}
