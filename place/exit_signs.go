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
)

type (
	// RunsBeside are the other calls at the upstream of a call.
	RunsBeside struct {
		// Own and Elsewhere count those of this host and, by their last reports, of other hosts.
		Own, Elsewhere int
		// BrokenAt is when one of this host was last broken off, the zero time if none was.
		BrokenAt time.Time
	}

	// ExitSigns is what a host knows, at the end of an answer with neither a length nor chunks, that tells an upstream which
	// exits behind its last answer from one that is killed while it leaves. All signs must agree.
	ExitSigns struct {
		// LeavingFor is the time since the upstream was first known to leave, zero if it is not.
		LeavingFor time.Duration
		// Notice is the time for which an upstream that leaves goes on serving.
		Notice time.Duration
		// LastBytesAt and EndedAt are when the last bytes of the answer and its end were read.
		LastBytesAt, EndedAt time.Time
		Beside               RunsBeside
	}
)

// MayExit reports whether an upstream that leaves may have exited behind the answer: it has served as long as it must, the
// end followed the last bytes at once, and no other call was there, whose answer its exit would have cut.
func (s ExitSigns) MayExit() bool {
	hasServed := s.LeavingFor > 0 && s.LeavingFor >= s.Notice
	isAtOnce := s.EndedAt.Sub(s.LastBytesAt) <= maxExitPause
	return hasServed && isAtOnce && s.Beside.isNone(s.EndedAt)
}

// isNone reports whether no other call was at the upstream at the end of an answer, or was broken off just before.
func (b RunsBeside) isNone(endedAt time.Time) bool {
	return b.Own == 0 && b.Elsewhere == 0 && endedAt.Sub(b.BrokenAt) > sameEndTime
}

// RunsBeside returns the other calls at the upstream of a call that runs.
func (s *Scheduler) RunsBeside(call spoke.CallNumber) RunsBeside {
	run := s.running[call]
	if run == nil {
		return RunsBeside{}
	}
	beside := RunsBeside{Own: len(run.node.runs) - 1, BrokenAt: run.node.brokenAt}
	for _, load := range run.node.peers {
		beside.Elsewhere += load.Runs
	}
	return beside
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
