package member

import (
	"maps"
	"time"

	"magnoliaspoke.example/spoke"
)

// forgetAfter is far above the time in which every host has removed a silent one, so
// that no late heartbeat brings a forgotten host back. Hosts are replaced by others of
// new names each day, and a table that kept them all would grow without end.
const forgetAfter = 10 * time.Minute

// expire forgets hosts that have been silent for long; the contacts of the settings
// are tried again all the same.
func (t *Table) expire(now time.Time) {
	maps.DeleteFunc(t.hosts, func(id spoke.HostID, host *entry) bool {
		return id != t.self && now.Sub(host.heard) > forgetAfter
	})
}

// isPassedOn reports whether heartbeats carry a host's beat: those of dead hosts
// would keep them in the tables of others.
func (t *Table) isPassedOn(now time.Time, host *entry, remote bool) bool {
	return (remote || t.isLocal(host.record)) && t.state(now, host) != spoke.PeerDead
}
