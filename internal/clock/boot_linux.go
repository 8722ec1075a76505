package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot reads CLOCK_BOOTTIME.
func sinceBoot() (time.Duration, bool) {
	var read unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &read); err != nil {
		return 0, false // an old kernel: suspensions are not counted
	}
	return time.Duration(read.Nano()), true
}
