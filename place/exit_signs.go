package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// maxExitPause is the longest time between the last bytes of a whole answer and the end of its connection. A process
	// that is killed, or exits with runs under way, mostly ends longer after its last bytes.
	maxExitPause = 5 * time.Millisecond
	// removalTime is the time from the end of an answer within which the directory tells that its upstream has left. The
	// entry of a killed one stays for at least two of its intervals.
	removalTime = 700 * time.Millisecond
	// sameEndTime is the time within which the connections of a process that ends are seen to end.
	sameEndTime = 100 * time.Millisecond
	// brokenRetention is the time for which hosts report that a call was broken off.
	brokenRetention = time.Second
)

const (
	// OthersEnded says that all other calls have ended whole.
	OthersEnded OtherRunsState = iota
	// OthersUnderWay says that some are under way, or that their ends are not known yet.
	OthersUnderWay
	// OthersBroken says that one was broken off at the same time.
	OthersBroken
)

type (
	// OtherRuns are the calls at an upstream beside one of them.
	OtherRuns struct {
		// Here and Elsewhere count those of this host and, by their last reports, of other hosts.
		Here, Elsewhere int
		// BrokenAt is when one of them was last broken off, the zero time if none was.
		BrokenAt time.Time
	}

	// OtherRunsState is what other calls at an upstream show of its exit.
	OtherRunsState int

	// ExitSigns is what a host knows, at the end of an answer with neither a length nor chunks, that tells an upstream which
	// exits behind its last answer from one that is killed while it leaves. All signs must agree.
	ExitSigns struct {
		// LeavingFor is the time since the upstream was first known to leave, zero if it is not.
		LeavingFor time.Duration
		// Notice is the time for which an upstream that leaves goes on serving.
		Notice time.Duration
		// LastBytesAt and EndedAt are when the last bytes of the answer and its end were read.
		LastBytesAt, EndedAt time.Time
	}
)

// MayExit reports whether an upstream that leaves may have exited behind the answer: it has served as long as it must, and
// the end followed the last bytes at once.
func (s ExitSigns) MayExit() bool {
	hasServed := s.LeavingFor > 0 && s.LeavingFor >= s.Notice
	return hasServed && s.EndedAt.Sub(s.LastBytesAt) <= maxExitPause
}

// State returns what the other calls show of the exit of an upstream behind an answer that ended at a time: an exit cuts none.
func (r OtherRuns) State(endedAt time.Time) OtherRunsState {
	switch {
	case endedAt.Sub(r.BrokenAt) <= sameEndTime:
		return OthersBroken
	case r.Here > 0 || r.Elsewhere > 0:
		return OthersUnderWay
	}
	return OthersEnded
}

// OtherRuns returns the calls beside one that runs.
func (s *Scheduler) OtherRuns(call spoke.CallNumber) OtherRuns {
	run := s.running[call]
	if run == nil {
		return OtherRuns{}
	}
	others := OtherRuns{Here: len(run.node.runs) - 1, BrokenAt: run.node.brokenAt}
	if run.node.brokenElsewhereAt.After(others.BrokenAt) {
		others.BrokenAt = run.node.brokenElsewhereAt
	}
	for _, load := range run.node.peers {
		others.Elsewhere += load.Runs
	}
	return others
}

// RemovalUntil returns the time until which a removal of the upstream's entry shows that it has exited, for an answer that
// ended at a time and a call with a deadline.
func RemovalUntil(endedAt, deadline time.Time) time.Time {
	until := endedAt.Add(removalTime)
	if deadline.Before(until) {
		return deadline
	}
	return until
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
