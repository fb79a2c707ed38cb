package warm

import "time"

const (
	// CauseEntry is a directory entry that states the remaining time.
	CauseEntry Cause = "entry"
	// CauseStart is a start during traffic whose entry states no time.
	CauseStart Cause = "start"
	// CauseHealth is the response to a health request.
	CauseHealth Cause = "health"
	// CauseConnection is a failed connection.
	CauseConnection Cause = "connection"
	// CauseResponse is the first response after a failed connection.
	CauseResponse Cause = "response"
	// CauseEvacuation is the end of the evacuation of a data centre.
	CauseEvacuation Cause = "evacuation"
)

type (
	// Cause says what a statement rests on.
	Cause string

	// Statement says until when an upstream is cold.
	Statement struct {
		Cause Cause
		// At is when this was so. Of two statements the later one applies.
		At time.Time
		// Until is the end of the cold time. The upstream is warm if that has passed.
		Until time.Time
		// IsOpen says that the upstream is possibly cold and that no end is known yet.
		IsOpen bool
	}

	// Entry is what a directory entry of one start of an upstream says.
	Entry struct {
		Sequence int64
		// Left is the remaining time, zero if none is stated.
		Left time.Duration
		// Age bounds the time between the writing of the entry and its receipt.
		Age time.Duration
		// IsStart says that the start is new and that the entry was first seen during traffic.
		IsStart bool
	}

	// State is what a host knows of one start of an upstream. The zero value is warm.
	State struct {
		// Statement is the one that applies.
		Statement
		// before applied before a failed connection of this host.
		before Statement
		// isOwn says that this host found the statement itself.
		isOwn    bool
		hasEntry bool
		entry    Entry
		askedAt  time.Time
	}
)

// IsCold reports whether the upstream is cold or possibly cold.
func (s Statement) IsCold(now time.Time) bool { return s.IsOpen || now.Before(s.Until) }

// Left returns the remaining time, zero if none is known.
func (s Statement) Left(now time.Time) time.Duration {
	if s.IsOpen {
		return 0
	}
	return max(s.Until.Sub(now), 0)
}

// IsOwn reports whether this host found the statement itself, so that it reports it to others. Statements of others are
// not passed on, since their times grow with the delay of each report.
func (s *State) IsOwn() bool { return s.isOwn }

// Listed applies a directory entry that is received now. period is the usual cold time after a start.
func (s *State) Listed(now time.Time, entry Entry, period time.Duration) {
	known, isFirst := s.entry, !s.hasEntry
	if !isFirst && !entry.IsStart && (entry.Sequence < known.Sequence || entry.Sequence == known.Sequence && entry.Left == known.Left) {
		return
	}
	s.entry, s.hasEntry = entry, true
	writtenAt := now.Add(-entry.Age)
	switch {
	case entry.Left == 0 && entry.IsStart:
		s.set(Statement{Cause: CauseStart, At: now, Until: now.Add(period)})
	case entry.Left > 0 && (isFirst || entry.IsStart || writtenAt.After(s.At)):
		s.set(Statement{Cause: CauseEntry, At: now, Until: now.Add(entry.Left)})
		// A host that starts reads entries of any age. Those that run have applied it when it was written, and would count
		// the upstream as cold once more.
		s.isOwn = !isFirst || entry.IsStart
	case entry.Left > 0 && !s.IsOpen:
		// The entry may be older than the last statement, so it only extends the time.
		s.extend(Statement{Cause: CauseEntry, At: now, Until: now.Add(entry.Left)})
	case entry.Left == 0 && s.IsCold(now) && writtenAt.After(s.At):
		s.set(Statement{Cause: CauseEntry, At: writtenAt, Until: writtenAt})
	}
}

// Answered applies the response, received now, to a health request of this host that was sent at a time.
func (s *State) Answered(now, asked time.Time, left time.Duration) {
	stated := Statement{Cause: CauseHealth, At: asked, Until: asked}
	if left > 0 {
		stated.Until = now.Add(left)
	}
	switch {
	case asked.After(s.At):
		s.set(stated)
	case left > 0 && !s.IsOpen:
		s.extend(stated)
	}
}

// Failed applies a failed connection of this host.
func (s *State) Failed(now time.Time) {
	if !now.After(s.At) {
		return
	}
	if !s.isOwn || s.Cause != CauseConnection {
		s.before = s.Statement
	}
	s.set(Statement{Cause: CauseConnection, At: now, IsOpen: true})
}

// WaysLost forgets the failed connections of this host, which have lost its own ways.
func (s *State) WaysLost() {
	if s.isOwn && s.Cause == CauseConnection {
		s.Statement = s.before
	}
}

// Responded applies a response to a request that this host sent at a time.
func (s *State) Responded(now, sent time.Time, period time.Duration) {
	if s.IsOpen && sent.After(s.At) {
		s.set(Statement{Cause: CauseResponse, At: now, Until: now.Add(period)})
	}
}

// CoolDown makes the upstream count as cold from now on, as after the end of an evacuation.
func (s *State) CoolDown(now time.Time, period time.Duration) {
	if !s.IsOpen {
		s.extend(Statement{Cause: CauseEvacuation, At: now, Until: now.Add(period)})
	}
}

// Reported applies a statement of another host.
func (s *State) Reported(stated Statement) {
	if stated.At.After(s.At) {
		s.Statement, s.isOwn = stated, false
	}
}

func (s *State) set(stated Statement) { s.Statement, s.isOwn = stated, true }

// extend applies a statement unless the upstream is cold for longer than that.
func (s *State) extend(stated Statement) {
	if stated.Until.After(s.Until) {
		s.set(stated)
	}
}
