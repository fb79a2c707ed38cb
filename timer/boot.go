package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a timer service whose clock also advances while the machine is suspended; its readings are
// comparable only with each other.
type Boot struct{ System }

// NewBoot returns a timer service whose clock counts from the machine's boot.
func NewBoot() *Boot { return &Boot{} }

// Now returns the time since the machine's boot as a time without monotonic reading.
func (*Boot) Now() time.Time {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		panic(err) // Every supported system has this clock.
	}
	return time.Unix(reading.Unix())
}
