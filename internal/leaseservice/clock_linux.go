package leaseservice

import "golang.org/x/sys/unix"

// Clock is the machine's clock since it started, in us. It goes on while the machine is suspended, which the runtime's
// own does not: a holder that slept must not think that its lease had slept too.
func Clock() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every kernel that this runs on has it
	}
	return t.Nano() / 1000
}
