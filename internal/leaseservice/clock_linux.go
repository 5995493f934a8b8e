package leaseservice

import "golang.org/x/sys/unix"

// Clock returns the time since the machine booted, in us. Unlike the Go runtime's monotonic clock it also advances
// while the machine is suspended: a holder must not believe that its lease did not run out during that time.
func Clock() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every supported kernel has this clock
	}
	return t.Nano() / 1000
}
