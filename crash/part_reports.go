package crash

import (
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// repeatTime is the time for which full reports repeat a crash or a cleared part, since datagrams are
	// lost.
	repeatTime = 5 * time.Second
	// reportableAge is the age from which crashes are not reported. It is below eventRetention, so that no
	// host takes a crash that it has dropped for a new one.
	reportableAge = 4 * time.Minute
	// reportedEnd is the time for which full reports repeat the end of a mark.
	reportedEnd = time.Minute
	// relayingHosts is the number of hosts that tell new hosts of a crash besides those that observed it.
	relayingHosts = 2
	// maxReportCrashes, maxReportParts and maxReportServed bound a report.
	maxReportCrashes, maxReportParts, maxReportServed = 32, 384, 128
)

// HasChanges reports whether Report has something new that should be sent at once.
func (r *PartRegistry) HasChanges() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isChanged || r.isResending
}

func (r *PartRegistry) resendAll() {
	r.isResending = len(r.events)+len(r.marks) > 0
}

// Report returns what other hosts, those of other cells included, should know: all that still matters if
// isFull, else what is new since the last report; and false if there is nothing.
func (r *PartRegistry) Report(now time.Time, isFull bool) (spoke.CrashReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evaluate(now)
	scope := reportScope{isFull: isFull || r.isResending, isResending: r.isResending}
	r.isChanged, r.isResending = false, false
	report := spoke.CrashReport{
		Crashes: r.reportCrashes(now, scope),
		Served:  r.reportServed(now, scope),
		Marks:   r.reportMarks(now, scope),
		Refuted: r.reportRefuted(now, scope),
	}
	return report, len(report.Crashes)+len(report.Served)+len(report.Marks)+len(report.Refuted) > 0
}

// reportScope states what belongs into a report.
type reportScope struct {
	isFull, isResending bool
}

func (r *PartRegistry) reportCrashes(now time.Time, scope reportScope) []spoke.UpstreamCrash {
	var crashes []spoke.UpstreamCrash
	room := maxReportParts
	for _, event := range slices.Backward(r.events) {
		if !r.isReported(now, event, scope) {
			continue
		}
		if len(crashes) == maxReportCrashes || room == 0 {
			// The rest follows in the next report.
			r.isChanged = r.isChanged || event.isChanged
			continue
		}
		event.isChanged = false
		crash := r.encodeCrash(now, event, min(room, maxHostParts))
		room -= len(crash.Parts) + len(crash.Repeated)
		if len(crash.Parts)+len(crash.Repeated) > 0 {
			crashes = append(crashes, crash)
		}
	}
	return crashes
}

func (r *PartRegistry) isReported(now time.Time, event *crashEvent, scope reportScope) bool {
	switch {
	case event.isRefuted || now.Sub(event.at) >= reportableAge || event.isExplained && !event.isChanged:
		return false
	case event.isChanged:
		return true
	case scope.isResending:
		return event.isOwn || r.isRelay(event)
	}
	return scope.isFull && event.isOwn && now.Sub(event.changedAt) < repeatTime
}

// isRelay reports whether this host tells new hosts of a crash that others have observed.
func (r *PartRegistry) isRelay(event *crashEvent) bool {
	return rankOf(r.self, r.hosts, uint64(HashPart(spoke.PartID(event.upstream.ID)))) < relayingHosts
}

// encodeCrash returns the crash with at most limit suspects that are not cleared.
func (r *PartRegistry) encodeCrash(now time.Time, event *crashEvent, limit int) spoke.UpstreamCrash {
	crash := spoke.UpstreamCrash{Upstream: event.upstream, Age: now.Sub(event.at)}
	var parts []spoke.PartHash
	for part := range event.parts {
		if r.isEvidence(event, part) {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	for _, part := range r.mostSuspect(parts, limit) {
		if event.parts[part] {
			crash.Parts = append(crash.Parts, part)
		} else {
			crash.Repeated = append(crash.Repeated, part)
		}
	}
	return crash
}

func (r *PartRegistry) reportServed(now time.Time, scope reportScope) []spoke.ServedPart {
	var parts []spoke.ServedPart
	for part, served := range r.served {
		if !served.isChanged && (!scope.isFull || now.Sub(served.recorded) >= repeatTime) {
			continue
		}
		if len(parts) == maxReportServed {
			r.isChanged = r.isChanged || served.isChanged
			continue
		}
		served.isChanged = false
		parts = append(parts, spoke.ServedPart{Part: part, Age: now.Sub(served.began)})
	}
	return parts
}

func (r *PartRegistry) reportMarks(now time.Time, scope reportScope) []spoke.PartMark {
	var marks []spoke.PartMark
	for _, mark := range r.marks {
		isOld := mark.isEnded && now.Sub(mark.until) >= reportedEnd
		if !mark.isChanged && (!scope.isFull || isOld) {
			continue
		}
		mark.isChanged = false
		marks = append(marks, spoke.PartMark{
			Part: mark.part, With: mark.with, Revision: mark.revision, Term: mark.term,
			Remaining: max(mark.until.Sub(now), 0), IsEnded: mark.isEnded,
		})
	}
	return marks
}

// Receive adopts the report of another host.
func (r *PartRegistry) Receive(now time.Time, host spoke.HostID, report spoke.CrashReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, mark := range report.Marks[:min(len(report.Marks), maxMarks)] {
		r.adopt(now, host, mark)
	}
	for _, crash := range report.Crashes[:min(len(report.Crashes), maxReportCrashes)] {
		r.receiveCrash(now, crash)
	}
	for _, refuted := range report.Refuted[:min(len(report.Refuted), maxReportCrashes)] {
		r.receiveRefuted(now, refuted)
	}
	for _, served := range report.Served[:min(len(report.Served), maxReportServed)] {
		r.receiveServed(now, served)
	}
	r.evaluate(now)
}

// reportDelay is the usual time from the creation of a report to its receipt.
const reportDelay = 300 * time.Millisecond

func (r *PartRegistry) receiveServed(now time.Time, served spoke.ServedPart) {
	// The age excludes the time on the way, which would let the answer seem to have begun later.
	began := now.Add(-max(served.Age, 0) - reportDelay)
	r.seen.put(served.Part, began, 0)
	r.seen.tell(served.Part)
	r.clearBefore(served.Part, began)
}

func (r *PartRegistry) receiveCrash(now time.Time, crash spoke.UpstreamCrash) {
	if crash.Age < 0 || crash.Age >= eventRetention || len(crash.Parts)+len(crash.Repeated) == 0 {
		return
	}
	event := r.eventOf(now.Add(-crash.Age), crash.Upstream)
	for _, part := range crash.Parts[:min(len(crash.Parts), maxHostParts)] {
		r.addSuspect(now, event, part, true)
	}
	for _, part := range crash.Repeated[:min(len(crash.Repeated), maxHostParts)] {
		r.addSuspect(now, event, part, false)
	}
	r.explainByMarks(event)
	r.refute(now, event)
}
