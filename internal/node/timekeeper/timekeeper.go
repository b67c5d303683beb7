// Package timekeeper reads the clock by which leases are judged.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time of a clock that also runs while the machine is suspended,
// and that no change of the time of day moves. Its origin is the start of the
// machine; times of it compare only with each other.
func Boot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists since Linux 2.6.39; without it a suspend goes unnoticed.
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
