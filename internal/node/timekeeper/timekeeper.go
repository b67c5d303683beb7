// Package timekeeper reads the clock that the validity of leases is measured with.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time of a clock that keeps running while the machine is suspended
// and is unaffected by changes of the time of day. It counts from the start of the
// machine, so its times can only be compared with each other.
func BootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39. The fallback does not count the
		// time while the machine is suspended.
		return time.Now()
	}
	return time.Unix(ts.Unix())
}
