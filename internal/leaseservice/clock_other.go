//go:build !linux

package leaseservice

import "time"

var clockStart = time.Now()

// Clock returns a monotonic time in us. If it stops while the machine is suspended, machines that can be suspended must
// not hold leases.
func Clock() int64 { return time.Since(clockStart).Microseconds() + 1 }
