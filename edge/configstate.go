package edge

import (
	"sync/atomic"
	"time"

	"magnoliaspoke.example/spoke"
)

const (
	// staleShare is the part of the time for a new configuration after which knowledge that was
	// not confirmed may be out of date.
	staleShare = 0.8
	// longestStep is longer than any step of a process that runs.
	longestStep = 500 * time.Millisecond
	// neverReached is the age of knowledge before the directory was reached.
	neverReached = 24 * time.Hour
	// pauseMemory is the time after a pause in which changes may have been made during it.
	pauseMemory = time.Second
)

// knowledge is what the host knows of the configuration and how old that may be; one task
// writes it and all may read it.
type knowledge struct {
	table     atomic.Pointer[spoke.RoutingTable]
	confirmed atomic.Int64
	revision  atomic.Uint64
	// heard is when the last account of another host came.
	heard atomic.Int64
	// stepped is when the process last made a step; pause and pausedUntil tell of the last time in
	// which it made none, as when its machine was suspended.
	stepped     atomic.Int64
	pause       atomic.Int64
	pausedUntil atomic.Int64
	limit       time.Duration
	now         func() time.Time
	// begin is the time from which the others count, so that jumps of the time of day do not matter.
	begin time.Time
}

func newKnowledge(apply time.Duration, now func() time.Time) *knowledge {
	return &knowledge{limit: time.Duration(staleShare * float64(apply)), now: now, begin: now().Add(-neverReached)}
}

// elapsed returns the time since the start in nanoseconds.
func (k *knowledge) elapsed() int64 { return int64(k.now().Sub(k.begin)) }

// confirm notes that the directory was reached.
func (k *knowledge) confirm() { k.confirmed.Store(k.elapsed()) }

// confirmBy takes another host's word that the directory was reached and holds nothing newer.
func (k *knowledge) confirmBy(view spoke.DirectoryView) {
	reached := k.elapsed() - int64(view.Age)
	known := k.confirmed.Load()
	if uint64(view.Revision) <= k.revision.Load() && reached > known {
		k.confirmed.CompareAndSwap(known, reached)
	}
}

// step notes that the process runs, and the pause if it did not.
func (k *knowledge) step() {
	now := k.elapsed()
	before := k.stepped.Swap(now)
	if pause := now - before; before != 0 && pause > int64(longestStep) {
		k.pause.Store(pause)
		k.pausedUntil.Store(now)
	}
}

// paused returns how long the process has just made no step, zero if it runs as usual.
func (k *knowledge) paused() time.Duration {
	now := k.elapsed()
	if before := k.stepped.Load(); before != 0 && now-before > int64(longestStep) {
		return time.Duration(now - before)
	}
	if now-k.pausedUntil.Load() < int64(pauseMemory) {
		return time.Duration(k.pause.Load())
	}
	return 0
}

// hear notes a word of another host.
func (k *knowledge) hear() { k.heard.Store(k.elapsed()) }

// isIsolated reports whether neither the directory nor another host was heard of for a time.
func (k *knowledge) isIsolated(limit time.Duration) bool {
	return k.age() > limit && time.Duration(k.elapsed()-k.heard.Load()) > limit
}

func (k *knowledge) view() spoke.DirectoryView {
	return spoke.DirectoryView{Revision: spoke.Revision(k.revision.Load()), Age: k.age()}
}

// age returns the time since the directory was last reached.
func (k *knowledge) age() time.Duration {
	return time.Duration(k.elapsed() - k.confirmed.Load())
}

// isStale reports whether a newer table could be in force elsewhere, so that an unknown key
// or route may exist.
func (k *knowledge) isStale() bool { return k.age() > k.limit }

// take puts a table in force unless it is older than the one that is.
func (k *knowledge) take(table *spoke.RoutingTable) bool {
	current := k.table.Load()
	if current != nil && table.Version <= current.Version {
		return false
	}
	k.table.Store(table)
	return true
}
