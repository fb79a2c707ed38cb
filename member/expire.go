package member

import (
	"maps"
	"time"

	"magnoliaspoke.example/spoke"
)

// evictAfter is the time without heartbeats after which a host is evicted from the table.
// It is far above the time in which all hosts mark a silent host as dead, so that no late
// heartbeat adds an evicted host again. Without eviction the table would grow without
// bound, since hosts are replaced daily by hosts with new names.
const evictAfter = 10 * time.Minute

// expire evicts hosts without a heartbeat for evictAfter. The contacts of the settings
// are still contacted after their eviction.
func (t *Table) expire(now time.Time) {
	maps.DeleteFunc(t.hosts, func(id spoke.HostID, host *entry) bool {
		return id != t.self && now.Sub(host.lastHeartbeat) > evictAfter
	})
}

// isForwarded reports whether a heartbeat includes a host's beat. Beats of dead hosts are
// left out, since they would keep these hosts in the tables of others.
func (t *Table) isForwarded(now time.Time, host *entry, remote bool) bool {
	return (remote || t.isLocal(host.record)) && t.state(now, host) != spoke.PeerDead
}
