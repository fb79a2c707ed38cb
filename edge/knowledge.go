package edge

import (
	"sync/atomic"
	"time"

	"magnoliaspoke.example/spoke"
)

// staleShare is the part of the time for a new configuration after which knowledge that was
// not confirmed may be out of date.
const staleShare = 0.8

// knowledge is what the host knows of the configuration and how old that may be; one task
// writes it and all may read it.
type knowledge struct {
	table     atomic.Pointer[spoke.RoutingTable]
	confirmed atomic.Int64
	revision  atomic.Uint64
	limit     time.Duration
	now       func() time.Time
}

func newKnowledge(apply time.Duration, now func() time.Time) *knowledge {
	return &knowledge{limit: time.Duration(staleShare * float64(apply)), now: now}
}

// confirm notes that the directory was reached.
func (k *knowledge) confirm() { k.confirmed.Store(k.now().UnixNano()) }

// confirmBy takes another host's word that the directory was reached and holds nothing newer.
func (k *knowledge) confirmBy(view spoke.DirectoryView) {
	reached := k.now().Add(-view.Age).UnixNano()
	known := k.confirmed.Load()
	if uint64(view.Revision) <= k.revision.Load() && reached > known {
		k.confirmed.CompareAndSwap(known, reached)
	}
}

func (k *knowledge) view() spoke.DirectoryView {
	return spoke.DirectoryView{Revision: spoke.Revision(k.revision.Load()), Age: k.age()}
}

// age returns the time since the directory was last reached.
func (k *knowledge) age() time.Duration {
	return k.now().Sub(time.Unix(0, k.confirmed.Load()))
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
