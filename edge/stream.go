package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke/link"
	"magnoliaspoke.example/spoke/place"
)

const (
	// largestEvent bounds one event of a stream.
	largestEvent = 128 << 10
	readSize     = 1 << 10
)

var (
	eventEnd = []byte("\n\n")

	errTorn = errors.New("stream ended inside an event")
	errHuge = errors.New("event is too large")
)

// streamState is what the caller has of a stream, over all attempts.
type streamState struct {
	lastID    string
	events    int
	lastEvent time.Time
	widestGap time.Duration
}

func (s *streamState) hasBegun() bool { return s != nil && s.events > 0 }

// stream passes whole events on as they arrive.
func (a *attempt) stream(ctx context.Context, answer *link.Response) bool {
	state := a.progress.stream
	if state == nil {
		state = &streamState{}
		a.progress.stream = state
	}
	buffer := make([]byte, 0, readSize)
	for {
		chunk, err := readMore(answer.Body, &buffer)
		if len(chunk) > 0 && !areEvents(chunk) {
			return a.failed(ctx, place.EndBroken, errNoEvent)
		}
		if len(chunk) > 0 {
			if !a.forward(state, chunk) {
				a.ending = place.EndCancelled
				return false
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return a.failed(ctx, place.EndBroken, err)
		}
		return a.finish(state)
	}
}

// readMore reads into the buffer and returns the whole events in it; io.EOF means that the
// stream ended after a whole event.
func readMore(body io.Reader, buffer *[]byte) ([]byte, error) {
	held := *buffer
	if cap(held)-len(held) < readSize/2 {
		held = append(make([]byte, 0, 2*cap(held)+readSize), held...)
	}
	n, err := body.Read(held[len(held):cap(held)])
	held = held[:len(held)+n]
	end := bytes.LastIndex(held, eventEnd)
	var events []byte
	if end >= 0 {
		end += len(eventEnd)
		events = bytes.Clone(held[:end])
		held = held[:copy(held, held[end:])]
	}
	*buffer = held
	switch {
	case err == io.EOF && len(held) > 0:
		return events, errTorn
	case err == nil && len(held) > largestEvent:
		return events, errHuge
	}
	return events, err
}

// areEvents reports whether whole events have the form of events. Bytes that are no answer may hold
// the mark of an event's end as well.
func areEvents(events []byte) bool {
	for event := range bytes.SplitSeq(bytes.TrimSuffix(events, eventEnd), eventEnd) {
		name, _, hasName := bytes.Cut(event, []byte(":"))
		if !hasName || bytes.ContainsFunc(name, func(r rune) bool { return r < '!' || r > '~' }) {
			return false
		}
	}
	return true
}

// forward writes whole events to the caller and reports whether it is still there.
func (a *attempt) forward(state *streamState, events []byte) bool {
	events = a.unseen(state, events)
	if len(events) == 0 {
		return true
	}
	now := time.Now()
	if state.events == 0 {
		a.begin()
	} else {
		state.widestGap = max(state.widestGap, now.Sub(state.lastEvent))
	}
	state.lastEvent = now
	state.events += bytes.Count(events, eventEnd)
	if id := lastID(events); id != "" {
		state.lastID = id
	}
	if a.silence != nil {
		a.silence.Reset(streamSilence)
	}
	if _, err := a.writer.Write(events); err != nil {
		return false
	}
	return http.NewResponseController(a.writer).Flush() == nil
}

// begin writes the head of the answer with the first event.
func (a *attempt) begin() {
	copyHeader(a.writer.Header(), a.head.Header)
	a.writer.WriteHeader(a.head.Status)
	a.planner.in <- planned{message: place.Began{Call: a.grant.Call, Load: a.head.Load, Weights: a.head.Weights, IsLeaving: a.head.IsLeaving}}
	first := time.Since(a.arrived)
	a.metrics.began(a.route.Name, first)
	a.log.WithFields(logrus.Fields{"upstream": a.grant.Upstream.ID, "first-event": first.String(), "target": a.route.Target.String(), "weights": a.head.Weights}).Info("stream began")
}

// finish ends a stream whose last event was whole.
func (a *attempt) finish(state *streamState) bool {
	if !state.hasBegun() {
		a.begin()
	}
	a.ending = place.EndServed
	a.log.WithFields(logrus.Fields{
		"events": state.events, "widest-gap": state.widestGap.String(), "gap-target": a.route.GapTarget.String(), "took": time.Since(a.arrived).String(),
		"status": a.head.Status,
	}).Info("answered")
	a.metrics.gap(a.route.Name, state.widestGap)
	a.metrics.answered(a.route.Name, "status-"+strconv.Itoa(a.head.Status), a.arrived)
	return true
}

// unseen drops events that the caller has from an earlier attempt.
func (a *attempt) unseen(state *streamState, events []byte) []byte {
	if state.lastID == "" || len(a.progress.sent) < 2 {
		return events
	}
	after, err := strconv.ParseInt(state.lastID, 10, 64)
	if err != nil {
		return events
	}
	var kept []byte
	for event := range bytes.SplitAfterSeq(events, eventEnd) {
		id, err := strconv.ParseInt(lastID(event), 10, 64)
		if err != nil || id > after {
			kept = append(kept, event...)
		}
	}
	return kept
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) string {
	const field = "id:"
	start := bytes.LastIndex(events, []byte("\n"+field)) + 1
	if start == 0 && !bytes.HasPrefix(events, []byte(field)) {
		return ""
	}
	line, _, _ := bytes.Cut(events[start+len(field):], []byte("\n"))
	return string(bytes.TrimSpace(line))
}
