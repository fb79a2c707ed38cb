package guard

import (
	"cmp"
	"slices"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// smallHolding is the size up to which a connection may use the part of the budget that large holdings leave.
	smallHolding spoke.ByteSize = 64 << 10
	// minStall and minIdle are the times without progress before a connection is closed for others. They keep callers that
	// send at once from closing each other while the processor is busy.
	minStall = 250 * time.Millisecond
	minIdle  = time.Second
	// batchDivisor divides a budget; the result is freed at a time, so that a crowd does not cost a scan of all connections
	// for each read.
	batchDivisor = 16
	// overshootDivisor divides a budget or a bound on connections; the result may be used again before connections that
	// were chosen to be closed have released theirs.
	overshootDivisor = 8
)

const (
	// Fresh connections have sent nothing yet.
	Fresh Phase = iota
	// Head is the phase in which the head of a request arrives.
	Head
	// Running calls are never closed by a ledger.
	Running
	// Body is the phase in which the body of a request is read or discarded.
	Body
	// Idle connections wait for their next request.
	Idle
	// Lingering connections were refused and stay open for a while, so that their callers can read the answer.
	Lingering
	// Leaving connections were chosen to be closed.
	Leaving
)

type (
	// ID identifies a connection.
	ID uint64

	// Phase is what a connection is used for.
	Phase int

	// Chosen is a connection that is to be closed, with its phase until now.
	Chosen struct {
		ID    ID
		Phase Phase
	}

	// Group is a number of listeners that share a bound on connections.
	Group int

	// Bounds are the limits of a ledger.
	Bounds struct {
		// Total and Large bound what all connections hold and what those hold that hold more than 64 KiB.
		Total, Large spoke.ByteSize
		// Connections bounds the open connections, Groups those of each group.
		Connections int
		Groups      []int
	}

	// Times are the times after which Sweep closes connections; zero means never.
	Times struct{ Head, Idle time.Duration }

	// Ledger counts what connections hold and decides which are closed. It is not safe for concurrent use.
	Ledger struct {
		bounds  Bounds
		entries map[ID]*entry
		// total and large are reserved; the leaving parts of them belong to connections that were chosen to be closed.
		total, large               spoke.ByteSize
		leavingTotal, leavingLarge spoke.ByteSize
		// open counts the connections that were not chosen to be closed.
		open   int
		groups []int
	}

	entry struct {
		id      ID
		group   Group
		phase   Phase
		held    spoke.ByteSize
		isCount bool
		// began is when the phase began, since is when it began or last made progress.
		began, since time.Time
	}
)

// NewLedger returns a ledger without connections.
func NewLedger(bounds Bounds) *Ledger {
	return &Ledger{bounds: bounds, entries: make(map[ID]*entry), groups: make([]int, len(bounds.Groups))}
}

// Open adds a connection and reports whether there is room for it, after the returned ones are closed.
func (l *Ledger) Open(now time.Time, id ID, group Group) (closed []Chosen, isAdmitted bool) {
	if l.groups[group] >= l.bounds.Groups[group] {
		closed = l.closeStalled(now, func(e *entry) bool { return e.group == group })
	} else if l.open >= l.bounds.Connections {
		closed = l.closeStalled(now, func(*entry) bool { return true })
	}
	// Connections that were chosen to be closed keep their descriptors until their handlers have ended.
	isFull := len(l.entries) >= l.bounds.Connections+l.bounds.Connections/overshootDivisor
	// Calls that run are not closed: without the room for connections that are being closed, callers would keep probes of
	// readiness and other hosts out.
	lacksPlace := l.open >= l.bounds.Connections && group == Callers
	if isFull || l.groups[group] >= l.bounds.Groups[group] || lacksPlace {
		return closed, false
	}
	l.open++
	l.groups[group]++
	l.entries[id] = &entry{id: id, group: group, isCount: true, began: now, since: now}
	return closed, true
}

// Enter sets the phase of a connection and reports whether it may go on.
func (l *Ledger) Enter(now time.Time, id ID, phase Phase) bool {
	e := l.entries[id]
	if e == nil || e.isLeaving() {
		return false
	}
	e.phase, e.began, e.since = phase, now, now
	return true
}

// Progress records that a connection has sent a part of its request.
func (l *Ledger) Progress(now time.Time, id ID) {
	if e := l.entries[id]; e != nil {
		e.since = now
	}
}

// Reserve adds to what a connection holds and reports whether there is room for it, after the returned ones are closed.
func (l *Ledger) Reserve(now time.Time, id ID, size spoke.ByteSize) (closed []Chosen, isReserved bool) {
	e := l.entries[id]
	if e == nil || e.isLeaving() {
		return nil, false
	}
	if size <= 0 {
		l.hold(e, e.held+size)
		return nil, true
	}
	after := e.held + size
	largeMore := size
	if e.held <= smallHolding {
		largeMore = after
	}
	if excess := largeMore + l.large - l.leavingLarge - l.bounds.Large; after > smallHolding && excess > 0 {
		closed = l.closeHolders(now, e, excess, l.bounds.Large, smallHolding)
	}
	if excess := size + l.total - l.leavingTotal - l.bounds.Total; excess > 0 {
		closed = append(closed, l.closeHolders(now, e, excess, l.bounds.Total, 0)...)
	}
	if after > smallHolding && !fits(l.large, l.leavingLarge, largeMore, l.bounds.Large) || !fits(l.total, l.leavingTotal, size, l.bounds.Total) {
		return closed, false
	}
	l.hold(e, after)
	return closed, true
}

// Release returns a part of what a connection holds.
func (l *Ledger) Release(id ID, size spoke.ByteSize) {
	if e := l.entries[id]; e != nil {
		l.hold(e, max(0, e.held-size))
	}
}

// Held returns what a connection holds.
func (l *Ledger) Held(id ID) spoke.ByteSize {
	if e := l.entries[id]; e != nil {
		return e.held
	}
	return 0
}

// Refuse marks a connection whose request is refused; it returns false if it was marked or chosen to be closed before.
func (l *Ledger) Refuse(now time.Time, id ID) bool {
	e := l.entries[id]
	if e == nil || e.isLeaving() {
		return false
	}
	e.phase, e.began, e.since = Lingering, now, now
	l.leavingTotal += e.held
	l.leavingLarge += e.largePart()
	return true
}

// Close removes a connection that is closed, with all that it holds.
func (l *Ledger) Close(id ID) {
	e := l.entries[id]
	if e == nil {
		return
	}
	l.hold(e, 0)
	l.uncount(e)
	delete(l.entries, id)
}

// Sweep returns the connections of a group whose head or next request has not come in time; they are to be closed.
func (l *Ledger) Sweep(now time.Time, group Group, times Times) (heads, idle []Chosen) {
	for _, e := range l.entries {
		took := now.Sub(e.began)
		switch {
		case e.group != group:
		case e.phase == Head && times.Head > 0 && took > times.Head:
			heads = append(heads, l.leave(e))
		case e.phase == Idle && times.Idle > 0 && took > times.Idle:
			idle = append(idle, l.leave(e))
		}
	}
	return heads, idle
}

// Total returns the number of open connections and what all hold.
func (l *Ledger) Total() (connections int, held spoke.ByteSize) { return l.open, l.total }

func fits(reserved, leaving, size, bound spoke.ByteSize) bool {
	return reserved-leaving+size <= bound && reserved+size <= bound+bound/overshootDivisor
}

// closeStalled chooses a connection to close for a new one: one that was refused, the one that sends a request and has been
// stalled longest, or the one that has been idle longest.
func (l *Ledger) closeStalled(now time.Time, matches func(*entry) bool) []Chosen {
	var refused, oldest, idlest *entry
	for _, e := range l.entries {
		stalled := now.Sub(e.since)
		switch {
		case !matches(e):
		case e.phase == Lingering && (refused == nil || e.since.Before(refused.since)):
			refused = e
		case e.isSending() && stalled >= minStall && (oldest == nil || e.since.Before(oldest.since)):
			oldest = e
		case e.phase == Idle && stalled >= minIdle && (idlest == nil || e.since.Before(idlest.since)):
			idlest = e
		}
	}
	chosen := cmp.Or(refused, oldest, idlest)
	if chosen == nil {
		return nil
	}
	return []Chosen{l.leave(chosen)}
}

// closeHolders chooses connections to close that hold more than a size, those first for which the product of what they
// hold and the time for which they have been stalled is largest. It chooses none if they do not make enough room.
func (l *Ledger) closeHolders(now time.Time, asking *entry, excess, bound, above spoke.ByteSize) []Chosen {
	var found []*entry
	var sum spoke.ByteSize
	for _, e := range l.entries {
		if e != asking && e.held > above && e.isSending() && now.Sub(e.since) >= minStall {
			found = append(found, e)
			sum += e.held
		}
	}
	if sum < excess {
		return nil
	}
	score := func(e *entry) float64 { return float64(e.held) * now.Sub(e.since).Seconds() }
	slices.SortFunc(found, func(a, b *entry) int { return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.id, b.id)) })
	var closed []Chosen
	for _, e := range found {
		if excess <= -bound/batchDivisor {
			break
		}
		excess -= e.held
		closed = append(closed, l.leave(e))
	}
	return closed
}

// isSending reports whether the connection waits for a part of a request.
func (e *entry) isSending() bool { return e.phase == Fresh || e.phase == Head || e.phase == Body }

func (e *entry) isLeaving() bool { return e.phase == Lingering || e.phase == Leaving }

func (l *Ledger) leave(e *entry) Chosen {
	chosen := Chosen{e.id, e.phase}
	if !e.isLeaving() {
		l.leavingTotal += e.held
		l.leavingLarge += e.largePart()
	}
	e.phase = Leaving
	l.uncount(e)
	return chosen
}

// uncount removes a connection from the number of those that are open.
func (l *Ledger) uncount(e *entry) {
	if e.isCount {
		e.isCount = false
		l.open--
		l.groups[e.group]--
	}
}

// hold sets what a connection holds.
func (l *Ledger) hold(e *entry, held spoke.ByteSize) {
	before, beforeLarge := e.held, e.largePart()
	e.held = held
	l.total += held - before
	l.large += e.largePart() - beforeLarge
	if e.isLeaving() {
		l.leavingTotal += held - before
		l.leavingLarge += e.largePart() - beforeLarge
	}
}

func (e *entry) largePart() spoke.ByteSize {
	if e.held > smallHolding {
		return e.held
	}
	return 0
}
