package edge

import (
	"bytes"
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/link"
	"magnoliaspoke.example/spoke/place"
	"magnoliaspoke.example/spoke/split"
)

const (
	// maxEventSize bounds one event of a stream, in bytes.
	maxEventSize = 128 << 10
)

var (
	eventDelimiter = split.Delimiter

	errTruncatedEvent = errors.New("stream ended inside an event")
	// errNoEvents reports a stream whose connection was closed after the head: each generation has an event,
	// so the engine has broken it off, unless the stream resumes one behind its last event.
	errNoEvents   = errors.New("stream ended before its first event")
	errLargeEvent = errors.New("event exceeds the size limit")
	// errEventOrder reports an event that the caller has or that belongs before it.
	errEventOrder = errors.New("ids of events do not increase")
)

// streamState is the part of a stream that the caller has received, over all attempts.
type streamState struct {
	lastID string
	events int
	// numbered is the number of events with an id; others may be without tokens.
	numbered    int
	lastEventAt time.Time
	widestGap   time.Duration
	// software is the version at which the stream began, as listed when its upstream was granted. It is a copy,
	// since the entry of the upstream may change or go.
	software spoke.SoftwareVersion
	// hasBegunLate is set if the caller's time for the first event had passed when that was sent. The caller has then
	// probably left.
	hasBegunLate bool
}

func (s *streamState) hasBegun() bool { return s != nil && s.events > 0 }

func (s *streamState) isLate() bool { return s != nil && s.hasBegunLate }

// relayStream relays complete events as they arrive.
func (a *attempt) relayStream(ctx context.Context, answer *link.Response) bool {
	state := a.progress.stream
	if state == nil {
		state = &streamState{}
		a.progress.stream = state
	}
	a.total.isResumed = state.hasBegun()
	splitter := split.New(maxEventSize)
	for {
		n, readErr := answer.Body.Read(splitter.Space())
		chunk, tail := splitter.Add(n)
		if len(chunk) > 0 && a.hasOtherSoftware() {
			return a.recordFailure(ctx, place.EndBroken, errOtherSoftware)
		}
		var foreign foreignEvents
		if len(chunk) > 0 {
			a.recordFirstEvent()
			var events []byte
			events, foreign = a.newEvents(state, chunk, answer.EndsWithConnection)
			if !a.forward(state, events) {
				a.ending = place.EndCancelled
				return false
			}
		}
		end := streamEnd{err: foreign.err, foreign: foreign.bytes, tail: splitter.Rest()}
		if end.err == nil {
			end.err = tailError(tail, readErr, end.tail)
		}
		if end.err != nil {
			return a.endStream(ctx, answer, state, end)
		}
	}
}

// recordFirstEvent records that the answer to the attempt has begun. The scheduler recalls runs that have not.
func (a *attempt) recordFirstEvent() {
	if a.hasBegun {
		return
	}
	a.hasBegun = true
	a.total.began(time.Now())
	a.parts.registry.Began(time.Now(), a.id)
	a.planner.in <- schedulerMessage{message: place.Began{Call: a.grant.Call, Load: a.head.Load, Weights: a.head.Weights, IsLeaving: a.head.IsLeaving, NamesNoLimit: a.head.NamesNoLimit(), NamesNoBrittleness: a.head.NamesNoBrittleness(), IsDetour: a.isDetour}}
}

// forward writes complete events to the caller and reports whether it is still connected.
func (a *attempt) forward(state *streamState, events []byte) bool {
	if len(events) == 0 {
		return true
	}
	now := time.Now()
	if state.events == 0 {
		a.recordOrigin(state)
		a.recordLateness(now, state)
		a.writeHead()
	} else {
		state.widestGap = max(state.widestGap, now.Sub(state.lastEventAt))
	}
	state.lastEventAt = now
	if !state.hasBegunLate {
		a.callerTime.extend(now, a.route.CallerTimeout)
	}
	state.events += bytes.Count(events, eventDelimiter)
	if id := lastID(events); id != "" {
		state.lastID = id
	}
	a.idle.heard(streamIdleTimeout, state.software)
	if _, err := a.writer.Write(events); err != nil {
		return false
	}
	return http.NewResponseController(a.writer).Flush() == nil
}

// writeHead writes the head of the answer, before the first event.
func (a *attempt) writeHead() {
	copyHeader(a.writer.Header(), a.head.Header)
	a.writer.WriteHeader(a.head.Status)
	a.underWay.setStage(a.state, stageBegun)
	first := time.Since(a.arrived)
	a.metrics.addFirst(a.route.Name, first)
	a.log.WithFields(logrus.Fields{"upstream": a.grant.Upstream.ID, "software": a.grant.Upstream.Software, "first-event": first.String(), "target": a.route.Target.String(), "weights": a.head.Weights}).Info("stream began")
}

// finishStream ends a stream whose last event was complete.
func (a *attempt) finishStream(state *streamState) bool {
	if !state.hasBegun() {
		a.writeHead()
	}
	a.ending = place.EndServed
	a.isAnswered = true
	a.log.WithFields(logrus.Fields{
		"events": state.events, "widest-gap": state.widestGap.String(), "gap-target": a.route.GapTarget.String(), "took": time.Since(a.arrived).String(),
		"status": a.head.Status, "upstream": a.grant.Upstream.ID,
	}).WithFields(a.answerFields()).WithFields(evidenceFields(a.evidence)).WithFields(a.totalFields()).Info("answered")
	a.metrics.addGap(a.route.Name, state.widestGap)
	a.metrics.addAnswer(a.route.Name, "status-"+strconv.Itoa(a.head.Status), a.arrived)
	return true
}

// newEvents returns the events that follow those that the caller has, and counts those with an id. A run that resumes a
// stream may repeat the events before; otherwise the ids of a run increase, and events behind one that goes back may belong
// to another run. Ids need not be consecutive, so that a missing event does not show. Where nothing but the connection shows
// the end, events behind as many as the caller allows tokens belong to another run, too.
func (a *attempt) newEvents(state *streamState, events []byte, isOpen bool) ([]byte, foreignEvents) {
	after, read := a.lastDelivered(state), 0
	var kept []byte
	for event := range bytes.SplitAfterSeq(events, eventDelimiter) {
		text := lastID(event)
		id, err := strconv.ParseInt(text, 10, 64)
		switch {
		case err == nil && id <= after && (a.hasNewEvent || a.spec.LastEventID == ""):
			return kept, foreignEvents{errEventOrder, events[read:]}
		case err == nil && id <= after:
			read += len(event)
			continue
		case text != "" && isOpen && a.isAtLimit(state.numbered):
			return kept, foreignEvents{errBehindLimit, events[read:]}
		case err == nil:
			after, a.hasNewEvent = id, true
		}
		read += len(event)
		kept = append(kept, event...)
		if text != "" {
			state.numbered++
		}
	}
	return kept, foreignEvents{}
}

// lastDelivered returns the id of the last event that the caller has, also from an earlier call of its own. It is below
// all ids if there is none or it is no number.
func (a *attempt) lastDelivered(state *streamState) int64 {
	last := state.lastID
	if last == "" {
		last = a.spec.LastEventID
	}
	if id, err := strconv.ParseInt(last, 10, 64); err == nil {
		return id
	}
	return math.MinInt64
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
