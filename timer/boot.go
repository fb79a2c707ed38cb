package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the timer service whose time also counts while the machine is suspended; its readings
// compare with each other only.
type Boot struct{ System }

// NewBoot returns the timer service on the clock since the machine's start.
func NewBoot() *Boot { return &Boot{} }

// Now returns the time since the machine's start as a time without monotonic reading.
func (*Boot) Now() time.Time {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		panic(err) // Every supported system has this clock.
	}
	return time.Unix(reading.Unix())
}
