package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// maxExitPause is the longest time between the last bytes of a whole answer and the end of its connection. A process
	// that is killed, or exits with runs under way, mostly ends longer after its last bytes.
	maxExitPause = 5 * time.Millisecond
	// exitKnownTime is the time from the end of an answer within which the directory tells that its upstream has left. The
	// entry of a killed one stays for at least two of its intervals.
	exitKnownTime = 700 * time.Millisecond
	// sameEndTime is the time within which the connections of a process that ends are seen to end.
	sameEndTime = 100 * time.Millisecond
	// brokenRetention is the time for which hosts report that a call was broken off.
	brokenRetention = time.Second
)

const (
	// othersEnded says that all other calls have ended whole.
	othersEnded otherRunsState = iota
	// othersUnderWay says that some are under way, or that their ends are not known yet.
	othersUnderWay
	// othersBroken says that one was broken off at the same time.
	othersBroken
)

type (
	// OtherRuns are the calls at an upstream beside one of them.
	OtherRuns struct {
		// Here and Elsewhere count those of this host and, by their last reports, of other hosts.
		Here, Elsewhere int
		// BrokenAt is when one of them was last broken off, the zero time if none was.
		BrokenAt time.Time
	}

	// otherRunsState is what other calls at an upstream show of its exit.
	otherRunsState int

	// ExitSigns is what a host knows of an upstream that refuses connections behind an answer with neither a length nor
	// chunks. It tells one that exits behind its last answer from one that is killed while it leaves.
	ExitSigns struct {
		// IsStaying is set if the upstream has not said that it leaves and is listed.
		IsStaying bool
		// LeavingFor is the time from the notice that the upstream leaves to the end of the answer, zero without one.
		LeavingFor time.Duration
		// Notice is the time for which an upstream that leaves goes on serving.
		Notice time.Duration
		// LastBytesAt and EndedAt are when the last bytes of the answer and its end were read.
		LastBytesAt, EndedAt time.Time
		// IsRemoved is set once the directory has removed the upstream's entry behind the end.
		IsRemoved bool
		// HeardAt is when the upstream last sent bytes to another call that was sent before the end.
		HeardAt time.Time
		Others  OtherRuns
	}
)

// Evidence returns what the signs show and whether later ones cannot show more. Bytes on another connection show that the
// upstream still ran: one that leaves may close its listener first. It has exited behind the answer if all of the other
// signs agree.
func (s ExitSigns) Evidence() (evidence EndEvidence, isDecided bool) {
	others := s.Others.state(s.EndedAt)
	switch {
	case s.HeardAt.Sub(s.EndedAt) > sameEndTime:
		return EndUpstreamRuns, true
	case s.IsStaying, others == othersBroken, !s.mayExit() && s.Others.Here == 0:
		return EndUpstreamRefused, true
	case s.mayExit() && s.IsRemoved && others == othersEnded:
		return EndUpstreamLeft, true
	}
	return EndUpstreamRefused, false
}

// mayExit reports whether an upstream that leaves may have exited behind the answer: it has served as long as it must, and
// the end followed the last bytes at once.
func (s ExitSigns) mayExit() bool {
	hasServed := s.LeavingFor > 0 && s.LeavingFor >= s.Notice
	return hasServed && s.EndedAt.Sub(s.LastBytesAt) <= maxExitPause
}

// state returns what the other calls show of the exit of an upstream behind an answer that ended at a time: an exit cuts none.
func (r OtherRuns) state(endedAt time.Time) otherRunsState {
	switch {
	case endedAt.Sub(r.BrokenAt) <= sameEndTime:
		return othersBroken
	case r.Here > 0 || r.Elsewhere > 0:
		return othersUnderWay
	}
	return othersEnded
}

// OtherRuns returns the calls beside one that runs. Those whose answers ended long before that of the call are left out:
// they were not cut at the same time, and their hosts may wait for this one in turn.
func (s *Scheduler) OtherRuns(call spoke.CallNumber, endedAt time.Time) OtherRuns {
	run := s.running[call]
	if run == nil {
		return OtherRuns{}
	}
	n, isEarlier := run.node, func(at time.Time) bool { return endedAt.Sub(at) > sameEndTime }
	others := OtherRuns{BrokenAt: n.brokenAt}
	if n.brokenElsewhereAt.After(n.brokenAt) {
		others.BrokenAt = n.brokenElsewhereAt
	}
	for _, other := range n.runs {
		if other != run && (other.answerEndedAt.IsZero() || !isEarlier(other.answerEndedAt)) {
			others.Here++
		}
	}
	for _, load := range n.peers {
		others.Elsewhere += load.Runs
		if isEarlier(load.checkedAt) {
			others.Elsewhere -= load.Checked
		}
	}
	return others
}

// answerEnded records that the answer to a call has ended and is not known to be whole yet.
func (s *Scheduler) answerEnded(now time.Time, call spoke.CallNumber) {
	if run := s.running[call]; run != nil {
		run.answerEndedAt = now
		s.report.changed(run.node)
	}
}

// checked returns the number of this host's calls whose answers are not known to be whole yet, and the time since the newest
// of their ends.
func (n *node) checked(now time.Time) (count int, age time.Duration) {
	var newest time.Time
	for _, run := range n.runs {
		if run.answerEndedAt.IsZero() {
			continue
		}
		count++
		if run.answerEndedAt.After(newest) {
			newest = run.answerEndedAt
		}
	}
	if count == 0 {
		return 0, 0
	}
	return count, now.Sub(newest)
}

// ExitKnownBy returns the time at which the signs of an exit are judged at the latest, for an answer that ended at a time and
// a call with a deadline.
func ExitKnownBy(endedAt, deadline time.Time) time.Time {
	return earlier(endedAt.Add(exitKnownTime), deadline)
}

// removeUpstream removes an upstream. While this host has calls there, it still counts those of other hosts.
func (s *Scheduler) removeUpstream(id spoke.UpstreamID) {
	if n := s.nodes[id]; n != nil && len(n.runs) > 0 {
		s.unlisted[id] = n
	}
	delete(s.nodes, id)
}

// brokenAge returns the time since a call of this host was broken off at the upstream, zero if none was lately.
func (n *node) brokenAge(now time.Time) time.Duration {
	if age := now.Sub(n.brokenAt); age < brokenRetention {
		return max(age, time.Millisecond)
	}
	return 0
}
