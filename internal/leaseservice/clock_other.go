//go:build !linux

package leaseservice

import "time"

var zero = time.Now()

// Clock is a monotonic clock in us. If it stands still while the machine sleeps, machines that sleep must not hold
// leases.
func Clock() int64 { return time.Since(zero).Microseconds() + 1 }
