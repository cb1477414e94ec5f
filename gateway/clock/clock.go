// Package clock reads a clock that also runs while the machine is suspended, and encodes ages for
// other instances.
//
// Go's own monotonic clock stops during a suspension, so that data could be hours older than that
// clock says.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Func reads a clock that also runs while the machine is suspended, as [Boot] does. It returns the
// time since some fixed moment. Tests in virtual time use a function of their own.
type Func func() time.Duration

// Boot returns the time since the machine booted, including suspensions (CLOCK_BOOTTIME).
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // not reached on Linux, which has the clock since 2.6.39
	}
	return time.Duration(ts.Nano())
}
