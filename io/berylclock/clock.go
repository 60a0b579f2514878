// Package berylclock provides a clock that also advances while the machine is suspended.
package berylclock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current reading of a clock. Readings can be compared within one
// process; they are not wall-clock time.
type Clock func() time.Time

// BootClock is a Clock that reads CLOCK_BOOTTIME: the time since the machine was booted,
// including the time for which it was suspended.
func BootClock() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Sleep waits until d has passed or ctx ends. It reports whether d passed before ctx
// ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
