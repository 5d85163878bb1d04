package jobentry

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the fallback where the boot clock cannot be read.
var processStart = time.Now()

// sinceBoot returns the time since the machine started. Unlike the steady
// clock it counts suspensions, in which leases go on.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
