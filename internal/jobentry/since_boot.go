package jobentry

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart replaces the boot time where the boot clock cannot be read.
var processStart = time.Now()

// sinceBoot returns the time since the machine started. Unlike the monotonic
// clock it includes suspensions of the machine, during which leases go on.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
