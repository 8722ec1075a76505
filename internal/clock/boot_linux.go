package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since boot, suspensions included (CLOCK_BOOTTIME).
func sinceBoot() (time.Duration, bool) {
	var boottime unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boottime); err != nil {
		return 0, false // an old kernel without CLOCK_BOOTTIME: suspensions are not counted
	}
	return time.Duration(boottime.Nano()), true
}
