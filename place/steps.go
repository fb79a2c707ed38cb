package place

import "time"

const (
	// calmStep is the time between two looks and two accounts where few hosts tell each other.
	calmStep = 20 * time.Millisecond
	// busyStep and idleStep are the times between two looks where more do, while calls wait and while
	// none does.
	busyStep = 50 * time.Millisecond
	idleStep = 100 * time.Millisecond
)

// StepsFor returns the times between two looks of a host, and between two of its accounts, in an
// installation of a number of hosts. Accounts cost each host time and bytes with the number of those
// that tell it, and larger installations have smaller hosts.
func IntervalsFor(hosts int) (steps PollInterval, accounts time.Duration) {
	if hosts <= cellHosts {
		return PollInterval{Busy: calmStep, Idle: calmStep}, calmStep
	}
	return PollInterval{Busy: busyStep, Idle: idleStep}, idleStep
}

// Steps decides the time between two looks of a host at its waiting calls and its news.
type PollInterval struct {
	// Busy applies while calls wait, Idle while none does.
	Busy time.Duration
	Idle time.Duration

	isBusy bool
}

// Ended returns the length of the step after one that has ended.
func (s *PollInterval) AfterTick(isWaiting bool) time.Duration {
	s.isBusy = isWaiting
	return s.length()
}

// Saw returns the length of the present step after a message. A step becomes shorter at once but
// longer only at its end, so that calls that wait for moments do not put its end off again and again.
func (s *PollInterval) AfterMessage(isWaiting bool) time.Duration {
	s.isBusy = s.isBusy || isWaiting
	return s.length()
}

func (s *PollInterval) length() time.Duration {
	if s.isBusy {
		return s.Busy
	}
	return s.Idle
}
