package place

import "time"

const (
	// smallInterval is the poll and report interval of installations in which few hosts exchange reports.
	smallInterval = 20 * time.Millisecond
	// busyInterval and idleInterval are the poll intervals of larger installations while calls wait and
	// while none does.
	busyInterval = 50 * time.Millisecond
	idleInterval = 100 * time.Millisecond
)

// IntervalsFor returns the poll intervals of a host and the interval of its load reports in an installation
// of the given number of hosts. The CPU time and bytes that reports cost a host grow with the number of
// hosts that send them, and larger installations have smaller hosts.
func IntervalsFor(hosts int) (polls PollInterval, reports time.Duration) {
	if hosts <= hostsPerCell {
		return PollInterval{Busy: smallInterval, Idle: smallInterval}, smallInterval
	}
	return PollInterval{Busy: busyInterval, Idle: idleInterval}, idleInterval
}

// PollInterval adapts the interval at which a host processes its waiting calls and pending reports.
type PollInterval struct {
	// Busy applies while calls wait, Idle while none does.
	Busy time.Duration
	Idle time.Duration

	isBusy bool
}

// AfterTick returns the interval until the next tick, at the end of an interval.
func (p *PollInterval) AfterTick(isWaiting bool) time.Duration {
	p.isBusy = isWaiting
	return p.current()
}

// AfterMessage returns the length of the present interval after a message. It becomes shorter at once but
// longer only after a tick, so that calls which wait briefly do not postpone the tick again and again.
func (p *PollInterval) AfterMessage(isWaiting bool) time.Duration {
	p.isBusy = p.isBusy || isWaiting
	return p.current()
}

func (p *PollInterval) current() time.Duration {
	if p.isBusy {
		return p.Busy
	}
	return p.Idle
}
