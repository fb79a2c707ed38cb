package edge

import (
	"sync/atomic"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/place"
)

const (
	// staleFraction is the fraction of the time allowed for applying a new configuration after which
	// the current one, unless it was confirmed again, may be out of date.
	staleFraction = 0.8
	// pauseThreshold is longer than the time between two steps of a process that is not suspended.
	pauseThreshold = 200 * time.Millisecond
	// neverReachedAge is the age at the start, before the directory was first reached.
	neverReachedAge = 24 * time.Hour
	// pauseRetention is the time after a pause within which changes are received that may have been made
	// during the pause.
	pauseRetention = time.Second
	// rewriteTime is the time after the return of the directory from an older copy in which others write again
	// what it has lost.
	rewriteTime = 4 * time.Second
	// provisionalTime bounds the time for which a started host waits for the reports of others before it serves by
	// a table that the directory may show from an older copy. Full reports come every second.
	provisionalTime = 1500 * time.Millisecond
)

// configState is the configuration that the host uses and how old it may be. It is safe for concurrent
// use, except that only one task may install tables.
type configState struct {
	table atomic.Pointer[spoke.RoutingTable]
	// cacheGroups names the cache groups of the table's workspaces.
	cacheGroups atomic.Pointer[place.CacheGroups]
	// tableReference identifies the table for other hosts.
	tableReference atomic.Pointer[spoke.TableReference]
	// provenAt is the time up to which this host knows all changes of the directory.
	provenAt atomic.Int64
	revision atomic.Uint64
	// peerReportAt is when the last load report of another host was received.
	peerReportAt atomic.Int64
	// steppedAt is when the process last made a step; lastPause and lastPauseEnd describe the last
	// period in which it made none, as when its machine was suspended.
	steppedAt    atomic.Int64
	lastPause    atomic.Int64
	lastPauseEnd atomic.Int64
	// returnedUntil is when the directory counts as complete again after its return from an older copy.
	returnedUntil atomic.Int64
	// provisionalUntil is when this host serves by its first table at the latest.
	provisionalUntil atomic.Int64
	staleAfter       time.Duration
	now              func() time.Time
	// origin is the time from which the other times count, so that jumps of the wall clock do not
	// matter.
	origin time.Time
}

func newConfigState(apply time.Duration, now func() time.Time) *configState {
	return &configState{staleAfter: time.Duration(staleFraction * float64(apply)), now: now, origin: now().Add(-neverReachedAge)}
}

// elapsed returns the time since origin in nanoseconds.
func (c *configState) elapsed() int64 { return int64(c.now().Sub(c.origin)) }

// prove records that this host knows all changes of the directory up to a time.
func (c *configState) prove(at time.Time) {
	proven := int64(at.Sub(c.origin))
	for {
		previous := c.provenAt.Load()
		if proven <= previous || c.provenAt.CompareAndSwap(previous, proven) {
			return
		}
	}
}

// recordStep records that the process is running, and the pause before it if there was one.
func (c *configState) recordStep() {
	now := c.elapsed()
	before := c.steppedAt.Load()
	if pause := now - before; before != 0 && pause > int64(pauseThreshold) {
		// A short pause soon after a long one must not hide it: answers from before both may still be unread.
		c.lastPause.Store(max(pause, int64(c.pauseWithin(now))))
		c.lastPauseEnd.Store(now)
	}
	c.steppedAt.Store(now)
}

// recentPause returns the length of a current or recent pause of the process, zero if there is none.
func (c *configState) recentPause() time.Duration {
	now := c.elapsed()
	last := c.pauseWithin(now)
	if before := c.steppedAt.Load(); before != 0 && now-before > int64(pauseThreshold) {
		return max(last, time.Duration(now-before))
	}
	return last
}

// pauseWithin returns the length of the last pause if it ended within pauseRetention, zero otherwise.
func (c *configState) pauseWithin(now int64) time.Duration {
	if now-c.lastPauseEnd.Load() < int64(pauseRetention) {
		return time.Duration(c.lastPause.Load())
	}
	return 0
}

// recordPeerReport records that another host sent a load report, which may have been unread for delay.
func (c *configState) recordPeerReport(delay time.Duration) {
	c.peerReportAt.Store(max(c.peerReportAt.Load(), c.elapsed()-int64(delay)))
}

// isIsolated reports whether neither the directory was reached nor another host reported within limit.
func (c *configState) isIsolated(limit time.Duration) bool {
	return c.age() > limit && !c.hearsOthers(limit)
}

// hearsOthers reports whether another host reported within limit.
func (c *configState) hearsOthers(limit time.Duration) bool {
	return time.Duration(c.elapsed()-c.peerReportAt.Load()) <= limit
}

func (c *configState) view() spoke.DirectoryView {
	return spoke.DirectoryView{Revision: spoke.Revision(c.revision.Load()), Age: c.age()}
}

// age returns the time for which the directory may have changed without this host's knowledge.
func (c *configState) age() time.Duration {
	return time.Duration(c.elapsed() - c.provenAt.Load())
}

// isStale reports whether a newer table could be in force elsewhere, so that a key or route missing in
// this one may exist.
func (c *configState) isStale() bool { return c.age() > c.staleAfter }

// recordReturn records that the directory has returned from an older copy.
func (c *configState) recordReturn() { c.returnedUntil.Store(c.elapsed() + int64(rewriteTime)) }

// mayMissChanges reports whether a confirmed table may be newer than this one, although the directory does not
// show it.
func (c *configState) mayMissChanges() bool { return c.isStale() || c.hasReturned() }

// hasReturned reports whether the directory has just returned from an older copy.
func (c *configState) hasReturned() bool { return c.elapsed() < c.returnedUntil.Load() }

// beginProvisional makes this host wait with its first table until endProvisional, at most provisionalTime.
func (c *configState) beginProvisional() {
	c.provisionalUntil.Store(c.elapsed() + int64(provisionalTime))
}

func (c *configState) endProvisional() { c.provisionalUntil.Store(0) }

func (c *configState) isProvisional() bool { return c.elapsed() < c.provisionalUntil.Load() }

// servedTable returns the table to serve by, nil if there is none yet.
func (c *configState) servedTable() *spoke.RoutingTable {
	if c.isProvisional() {
		return nil
	}
	return c.table.Load()
}

// isNewer reports whether a table is newer than the one in force, or none is in force.
func (c *configState) isNewer(table *spoke.RoutingTable) bool {
	current := c.table.Load()
	return current == nil || table.Version > current.Version
}

// install puts a table in force.
func (c *configState) install(table *spoke.RoutingTable, content spoke.ContentReference) {
	c.cacheGroups.Store(place.NewCacheGroups(table.Isolated))
	c.table.Store(table)
	c.tableReference.Store(&spoke.TableReference{Version: table.Version, Content: content})
}

// tableVersion returns the version of the table in force, zero if there is none.
func (c *configState) tableVersion() spoke.TableVersion {
	if table := c.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// fullView returns the directory view of this host with the table in force.
func (c *configState) fullView() spoke.DirectoryView {
	view := c.view()
	if table := c.tableReference.Load(); table != nil {
		view.Table = *table
	}
	return view
}
