package place

import (
	"time"

	"magnoliaspoke.example/spoke"
)

// tableLagTime is the time in which a newer table arrives from the directory or from the hosts that pass it on.
const tableLagTime = 500 * time.Millisecond

// TableLag tells a host that does not get a newer routing table from one that only gets it a little later than
// others. The zero value lags behind nobody.
type TableLag struct {
	// own is the table in force since which another host has reported newer ones, from the time since on.
	own   spoke.TableVersion
	since time.Time
}

// Observe records the table in force and a newer one of another host; it returns whether the own one has lagged
// behind for so long that this host should ask the other one. Each table that comes into force begins a new lag.
func (l *TableLag) Observe(now time.Time, own, other spoke.TableVersion) bool {
	if other <= own {
		l.since = time.Time{}
		return false
	}
	if l.since.IsZero() || own != l.own {
		l.own, l.since = own, now
	}
	return now.Sub(l.since) >= tableLagTime
}
