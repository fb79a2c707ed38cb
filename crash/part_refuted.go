package crash

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// refutableTime is the time from a crash within which an answer of the same start to a request sent after it shows
	// that only the ways of the host that reported it were lost. An upstream that has crashed returns later, so that no
	// answer of its next start is taken for one of the start that its entry still names.
	refutableTime = 400 * time.Millisecond
	// answerDistance is the least time between the answers of a start that are kept, and maxAnswerTimes their number,
	// so that reports of crashes may be some seconds late.
	answerDistance = 200 * time.Millisecond
	maxAnswerTimes = 16
	// maxAnsweredStarts bounds the starts whose answers are kept.
	maxAnsweredStarts = 1024
)

type (
	// startKey identifies a start of an upstream, whose time reports give in milliseconds.
	startKey struct {
		id        spoke.UpstreamID
		startedMs int64
	}

	// answeredStarts holds, for each start of an upstream, when requests were sent that it answered, the latest last.
	answeredStarts map[startKey][]time.Time
)

func keyOf(start spoke.UpstreamStart) startKey { return startKey{start.ID, start.Started.UnixMilli()} }

// add records an answer to a request that was sent at a time. A start that is not known could be several.
func (a answeredStarts) add(upstream spoke.UpstreamStart, sentAt time.Time) {
	if upstream.Started.IsZero() {
		return
	}
	key := keyOf(upstream)
	times := a[key]
	if len(times) > 0 && sentAt.Sub(times[len(times)-1]) < answerDistance {
		return
	}
	if len(times) == 0 && len(a) >= maxAnsweredStarts {
		clear(a)
	}
	if times = append(times, sentAt); len(times) > maxAnswerTimes {
		times = times[1:]
	}
	a[key] = times
}

// refutes reports whether the start has answered a request that was sent soon after the crash.
func (a answeredStarts) refutes(event *crashEvent) bool {
	return slices.ContainsFunc(a[keyOf(event.upstream)], func(sentAt time.Time) bool {
		since := sentAt.Sub(event.at)
		return since > 0 && since < refutableTime
	})
}

// recordAnswered takes back crashes of the start that has begun to answer an attempt of this host.
func (r *PartRegistry) recordAnswered(now time.Time, run *partRun) {
	r.answered.add(run.upstream, run.sentAt)
	for _, event := range r.events {
		if event.upstream.ID == run.upstream.ID {
			r.refute(now, event)
		}
	}
}

// refute takes back a crash if what this host has seen refutes it.
func (r *PartRegistry) refute(now time.Time, event *crashEvent) {
	if event.isRefuted || !r.answered.refutes(event) {
		return
	}
	r.takeBack(event)
	event.isRefutationOwn, event.isChanged, event.changedAt = true, true, now
	r.isChanged = true
}

func (r *PartRegistry) takeBack(event *crashEvent) {
	event.isRefuted = true
	r.isStale = true
}

// reportRefuted returns the crashes that this host has refuted.
func (r *PartRegistry) reportRefuted(now time.Time, scope reportScope) []spoke.RefutedCrash {
	var refuted []spoke.RefutedCrash
	for _, event := range r.events {
		isDue := event.isChanged || scope.isFull && now.Sub(event.changedAt) < repeatTime
		if !event.isRefutationOwn || !isDue || len(refuted) == maxReportCrashes {
			continue
		}
		event.isChanged = false
		refuted = append(refuted, spoke.RefutedCrash{Upstream: event.upstream, Age: now.Sub(event.at)})
	}
	return refuted
}

// receiveRefuted takes back a crash that another host has refuted, also one that this host learns of later.
func (r *PartRegistry) receiveRefuted(now time.Time, refuted spoke.RefutedCrash) {
	if refuted.Age < 0 || refuted.Age >= reportableAge {
		return
	}
	r.takeBack(r.eventOf(now.Add(-refuted.Age), refuted.Upstream))
}
